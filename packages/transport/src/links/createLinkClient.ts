import net, { type Socket } from 'node:net';
import { JSONRPCClient } from 'json-rpc-2.0/dist/client.js';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Target } from '../createHttpClient.js';
import TransportError from '../TransportError.js';
import createLineReader from './createLineReader.js';
import { PING_METHOD } from './createLinkServer.js';

/** Options of {@link createLinkClient}. */
export interface LinkClientOptions {
  readonly clock: Clock;
  /** Time limit for establishing a connection. */
  readonly connectLimitMs: number;
  /** Interval of pings while calls are open. */
  readonly pingMs: number;
  /** A link with open calls is closed when nothing arrives on it for this long. */
  readonly silenceLimitMs: number;
}

/** Calls methods of other hosts over links: persistent connections, one for each peer. */
export interface LinkClient {
  /**
   * Calls a method. A call has no time limit of its own; it fails when its link breaks.
   *
   * @throws TransportError `not-connected` when the peer did not receive the call, `connection-lost` when it may have
   *   received it, `invalid-message` when the peer answered with an error
   */
  call(target: Target, method: string, params: object): Promise<unknown>;
  /** Sends a notification if a link to the peer is open; it is dropped otherwise. */
  notify(target: Target, method: string, params: object): void;
  /** Closes every link. */
  close(): void;
}

/** A timer that is late by more than this shows that this process was paused, so silence says nothing about the peer. */
const PAUSE_THRESHOLD_MS = 200;

/** One connection to a peer. */
class Link {
  readonly socket: Socket;

  readonly ready: Promise<void>;

  private readonly rpc: JSONRPCClient;

  /** Ids of the calls and pings that have no answer yet. */
  private readonly openIds = new Set<unknown>();

  private lastId = 0;

  private pendingCalls = 0;

  private lastReceivedAtMs: number;

  private timer: Timer | undefined;

  constructor(
    target: Target,
    private readonly options: LinkClientOptions,
  ) {
    this.lastReceivedAtMs = options.clock.monotonicMs();
    this.socket = net.connect({ host: target.address, port: target.port, noDelay: true });
    this.rpc = new JSONRPCClient(
      (message) => {
        this.socket.write(`${JSON.stringify(message)}\n`);
      },
      () => this.takeId(),
    );
    const read = createLineReader((line) => this.receive(JSON.parse(line) as JSONRPCResponse));
    this.socket.on('data', (chunk) => {
      this.lastReceivedAtMs = options.clock.monotonicMs();
      try {
        read(chunk);
      } catch (cause) {
        this.socket.destroy(toError(cause));
      }
    });
    this.socket.on('error', () => this.socket.destroy());
    this.socket.on('close', () => this.handleClose());
    this.ready = this.connect();
  }

  async call(method: string, params: object): Promise<unknown> {
    await this.ready;
    if (this.pendingCalls === 0) {
      this.lastReceivedAtMs = this.options.clock.monotonicMs();
    }
    this.pendingCalls += 1;
    this.schedulePing();
    try {
      return await this.rpc.request(method, params);
    } catch (cause) {
      throw this.socket.destroyed
        ? new TransportError('connection-lost', 'the link broke during a call', { cause })
        : new TransportError('invalid-message', `the peer refused ${method}`, { cause });
    } finally {
      this.pendingCalls -= 1;
    }
  }

  notify(method: string, params: object): void {
    if (!this.socket.connecting && !this.socket.destroyed) {
      this.rpc.notify(method, params);
    }
  }

  private takeId(): number {
    this.lastId += 1;
    this.openIds.add(this.lastId);
    return this.lastId;
  }

  /** Hands an answer to its call. After one that names no open call, the peer's other answers cannot be trusted. */
  private receive(answer: JSONRPCResponse): void {
    if (!this.openIds.delete(answer.id)) {
      throw new TransportError('invalid-message', 'the peer answered a call that is not open');
    }
    this.rpc.receive(answer);
  }

  private connect(): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = (): void => {
        this.socket.destroy();
        reject(new TransportError('not-connected', 'no link could be established'));
      };
      const timer = this.options.clock.schedule(this.options.connectLimitMs, fail);
      this.socket.once('connect', () => {
        timer.close();
        this.lastReceivedAtMs = this.options.clock.monotonicMs();
        resolve();
      });
      this.socket.once('close', () => {
        timer.close();
        fail();
      });
    });
  }

  /** Sends pings while calls are open, and closes a link on which nothing arrives. */
  private schedulePing(): void {
    if (this.timer !== undefined || this.socket.destroyed) {
      return;
    }
    const { clock, pingMs, silenceLimitMs } = this.options;
    const dueAtMs = clock.monotonicMs() + pingMs;
    this.timer = clock.schedule(pingMs, () => {
      this.timer = undefined;
      const nowMs = clock.monotonicMs();
      if (nowMs - dueAtMs > PAUSE_THRESHOLD_MS) {
        this.lastReceivedAtMs = nowMs;
      }
      if (this.pendingCalls === 0 || this.socket.destroyed) {
        return;
      }
      if (nowMs - this.lastReceivedAtMs > silenceLimitMs) {
        this.socket.destroy();
        return;
      }
      this.rpc.request(PING_METHOD, {}).then(undefined, () => undefined);
      this.schedulePing();
    });
  }

  private handleClose(): void {
    this.timer?.close();
    this.rpc.rejectAllPendingRequests('the link broke');
  }
}

const createLink = (target: Target, options: LinkClientOptions): Link => {
  try {
    return new Link(target, options);
  } catch (cause) {
    // Node.js throws for a port out of range.
    throw new TransportError('not-connected', 'the address of the peer is invalid', { cause });
  }
};

const toKey = (target: Target): string => `${target.address}:${target.port}`;

/**
 * Creates a link client: newline-delimited JSON-RPC 2.0 messages over one connection for each peer.
 *
 * @param options - clock and limits
 * @returns the client
 * @example
 * await links.call({ address: '10.0.0.2', port: 7000 }, 'echo', { text: 'hi' });
 */
export default function createLinkClient(options: LinkClientOptions): LinkClient {
  const links = new Map<string, Link>();
  let closed = false;

  const open = (target: Target): Link => {
    const key = toKey(target);
    const known = links.get(key);
    if (known !== undefined) {
      return known;
    }
    const link = createLink(target, options);
    links.set(key, link);
    link.socket.once('close', () => {
      if (links.get(key) === link) {
        links.delete(key);
      }
    });
    return link;
  };

  return {
    call: async (target, method, params) => {
      if (closed) {
        throw new TransportError('not-connected', 'the client is closed');
      }
      return open(target).call(method, params);
    },
    notify: (target, method, params) => links.get(toKey(target))?.notify(method, params),
    close: () => {
      closed = true;
      links.forEach((link) => link.socket.destroy());
    },
  };
}
