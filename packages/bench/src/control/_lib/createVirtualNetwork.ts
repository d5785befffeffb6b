import type { Clock, ManualClock, Timer } from '@bergamotcove/clock';
import type { PeerAddress } from '@bergamotcove/protocol';
import { TransportError, type PeerClient, type PeerMethod, type PeerServer } from '@bergamotcove/transport';

/** Bytes of IP, UDP and authentication around a message. */
const DATAGRAM_EXTRA_BYTES = 28 + 36;

/** Bytes of IP, TCP, HTTP and authentication headers around the two bodies of a call on a kept connection. */
const CALL_EXTRA_BYTES = 800;

const SAME_DOMAIN_MS = 0.5;
const SAME_REGION_MS = 1;
const OTHER_REGION_MS = 12;

/** Traffic of one host. */
export interface Traffic {
  datagrams: number;
  datagramBytes: number;
  calls: number;
  callBytes: number;
  storeCalls: number;
  storeBytes: number;
  listReads: number;
  listBytes: number;
}

/** One process in the virtual network. */
interface Endpoint {
  readonly address: PeerAddress;
  readonly methods: Map<string, PeerMethod>;
  receive: (bytes: Uint8Array) => void;
  pausedUntilMs: number;
  up: boolean;
}

/** Faults of the network; tests and measurements change them while it runs. */
export interface NetworkFaults {
  /** Share of datagrams that are lost; calls run over TCP and are not. */
  lossRatio: number;
  /** Share of calls whose answer is lost after the method ran. */
  lostReplyRatio: number;
  /** Whether two hosts cannot reach each other. */
  isCut: (from: PeerAddress, to: PeerAddress) => boolean;
}

/** A lossy network in virtual time. */
export interface VirtualNetwork {
  readonly faults: NetworkFaults;
  attach(address: PeerAddress, receive: (bytes: Uint8Array) => void): VirtualLink;
  traffic(hostId: string): Traffic;
  pause(hostId: string, durationMs: number): void;
}

/** What one process uses of the network. */
export interface VirtualLink {
  /** Clock whose timers do not run while the process is paused. */
  readonly clock: Clock;
  readonly peerClient: PeerClient;
  readonly server: PeerServer;
  send(to: PeerAddress, bytes: Uint8Array): void;
  /** Ends the process without a word. */
  detach(): void;
}

const latencyMs = (from: PeerAddress, to: PeerAddress): number => {
  if (from.failureDomain === to.failureDomain) {
    return SAME_DOMAIN_MS;
  }
  return from.region === to.region ? SAME_REGION_MS : OTHER_REGION_MS;
};

const addDatagram = (traffic: Traffic, sizeBytes: number): void => {
  const counted = traffic;
  counted.datagramBytes += sizeBytes;
};

const addCall = (traffic: Traffic, calls: number, sizeBytes: number): void => {
  const counted = traffic;
  counted.calls += calls;
  counted.callBytes += sizeBytes;
};

class Network implements VirtualNetwork {
  readonly faults: NetworkFaults = { lossRatio: 0, lostReplyRatio: 0, isCut: () => false };

  private readonly endpoints = new Map<string, Endpoint>();

  private readonly traffics = new Map<string, Traffic>();

  constructor(
    private readonly clock: ManualClock,
    private readonly random: () => number,
  ) {}

  traffic(hostId: string): Traffic {
    const known = this.traffics.get(hostId);
    const traffic = known ?? {
      datagrams: 0,
      datagramBytes: 0,
      calls: 0,
      callBytes: 0,
      storeCalls: 0,
      storeBytes: 0,
      listReads: 0,
      listBytes: 0,
    };
    this.traffics.set(hostId, traffic);
    return traffic;
  }

  pause(hostId: string, durationMs: number): void {
    const endpoint = this.endpoints.get(hostId);
    if (endpoint !== undefined) {
      endpoint.pausedUntilMs = this.clock.monotonicMs() + durationMs;
    }
  }

  attach(address: PeerAddress, receive: (bytes: Uint8Array) => void): VirtualLink {
    const methods = new Map<string, PeerMethod>();
    const endpoint: Endpoint = { address, methods, receive, pausedUntilMs: 0, up: true };
    this.endpoints.set(address.hostId, endpoint);
    const unused = (): Promise<void> => Promise.reject(new Error('the virtual network has no HTTP'));
    return {
      clock: {
        monotonicMs: () => this.clock.monotonicMs(),
        wallMs: () => this.clock.wallMs(),
        schedule: (delayMs, run) => this.scheduleOn(endpoint, delayMs, run),
      },
      peerClient: {
        call: (target, method, params, { timeoutMs }) =>
          this.call(endpoint, target.address, { method, params, timeoutMs }),
      },
      server: { register: (method, handle) => methods.set(method, handle), handle: unused },
      send: (to, bytes) => this.send(endpoint, to, bytes),
      detach: () => {
        endpoint.up = false;
      },
    };
  }

  /** Runs a timer of a process; one that falls due in a pause runs at its end. */
  private scheduleOn(endpoint: Endpoint, delayMs: number, run: () => void): Timer {
    let timer: Timer;
    const attempt = (): void => {
      const restMs = endpoint.pausedUntilMs - this.clock.monotonicMs();
      if (restMs > 0) {
        timer = this.clock.schedule(restMs, attempt);
      } else if (endpoint.up) {
        run();
      }
    };
    timer = this.clock.schedule(delayMs, attempt);
    return { close: () => timer.close() };
  }

  private send(from: Endpoint, to: PeerAddress, bytes: Uint8Array): void {
    const sizeBytes = bytes.length + DATAGRAM_EXTRA_BYTES;
    const sent = this.traffic(from.address.hostId);
    sent.datagrams += 1;
    addDatagram(sent, sizeBytes);
    const target = this.endpoints.get(to.hostId);
    const { lossRatio, isCut } = this.faults;
    if (target === undefined || !from.up || this.random() < lossRatio || isCut(from.address, to)) {
      return;
    }
    addDatagram(this.traffic(to.hostId), sizeBytes);
    this.scheduleOn(target, latencyMs(from.address, to), () => target.receive(bytes));
  }

  private wait(endpoint: Endpoint, delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.scheduleOn(endpoint, delayMs, resolve);
    });
  }

  private async call(
    from: Endpoint,
    hostId: string,
    { method, params, timeoutMs }: { readonly method: string; readonly params: object; readonly timeoutMs: number },
  ): Promise<unknown> {
    const target = this.endpoints.get(hostId);
    const body = JSON.stringify(params);
    addCall(this.traffic(from.address.hostId), 1, body.length + CALL_EXTRA_BYTES / 2);
    if (target === undefined || !target.up) {
      throw new TransportError('not-connected', 'no such process');
    }
    const delayMs = latencyMs(from.address, target.address);
    const timeout = this.wait(from, timeoutMs).then(() => {
      throw new TransportError('aborted', 'the call timed out');
    });
    const run = async (): Promise<unknown> => {
      await this.wait(target, delayMs);
      if (this.faults.isCut(from.address, target.address)) {
        return timeout;
      }
      const answer = JSON.stringify(await target.methods.get(method)?.(JSON.parse(body)));
      addCall(this.traffic(hostId), 0, body.length + answer.length + CALL_EXTRA_BYTES);
      addCall(this.traffic(from.address.hostId), 0, answer.length + CALL_EXTRA_BYTES / 2);
      if (this.random() < this.faults.lostReplyRatio) {
        return timeout;
      }
      await this.wait(from, delayMs);
      return JSON.parse(answer);
    };
    return Promise.race([run(), timeout]);
  }
}

/**
 * Creates a network in virtual time.
 *
 * @param clock - clock that the caller advances
 * @param random - seeded random numbers
 * @returns the network; the peer client takes host ids as addresses
 */
export default function createVirtualNetwork(clock: ManualClock, random: () => number): VirtualNetwork {
  return new Network(clock, random);
}
