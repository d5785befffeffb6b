import net from 'node:net';
import { Transform, type TransformCallback } from 'node:stream';
import { ADDRESS } from '../constants.js';

/**
 * `pass` forwards all data; `blackhole` holds data back in both directions until the mode changes, as a network
 * partition does; `no-replies` holds back only what the target sends; `refuse` breaks open connections and resets new
 * ones.
 */
export type LinkMode = 'pass' | 'blackhole' | 'no-replies' | 'refuse';

/** A TCP proxy between two processes of a world, which can cut or delay the traffic. */
export interface Link {
  readonly port: number;
  setTarget(port: number): void;
  setMode(mode: LinkMode): void;
  /** Registers a listener that is called with each reply chunk before it is forwarded. */
  onReply(listener: (chunk: Buffer) => Promise<void> | void): void;
  close(): void;
}

/** Forwards chunks while it is open and holds them back in order while it is closed. */
class Gate extends Transform {
  private releaseHeldChunk: (() => void) | undefined;

  constructor(
    private open: boolean,
    private readonly beforeChunk: (chunk: Buffer) => Promise<void> | void,
  ) {
    super();
  }

  setOpen(open: boolean): void {
    this.open = open;
    if (open) {
      const release = this.releaseHeldChunk;
      this.releaseHeldChunk = undefined;
      release?.();
    }
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    Promise.resolve(this.beforeChunk(chunk)).then(() => {
      if (this.open) {
        done(null, chunk);
      } else {
        this.releaseHeldChunk = () => done(null, chunk);
      }
    }, done);
  }
}

interface Connection {
  readonly requests: Gate;
  readonly replies: Gate;
  destroy(): void;
}

const allowsRequests = (mode: LinkMode): boolean => mode === 'pass' || mode === 'no-replies';

/** Connects an inbound socket to the target through one gate a direction; when one side ends, destroys the other. */
const connect = (
  inbound: net.Socket,
  targetPort: number,
  mode: LinkMode,
  beforeReply: (chunk: Buffer) => Promise<void> | void,
): Connection => {
  const outbound = net.connect(targetPort, ADDRESS);
  const requests = new Gate(allowsRequests(mode), () => undefined);
  const replies = new Gate(mode === 'pass', beforeReply);
  const destroy = (): void => {
    inbound.destroy();
    outbound.destroy();
  };
  // When the target refuses, the client must see an error too, so its connection is reset instead of ended orderly.
  outbound.on('error', () => inbound.resetAndDestroy());
  inbound.on('error', () => outbound.destroy());
  inbound.on('close', () => outbound.destroy());
  inbound.pipe(requests).pipe(outbound);
  outbound.pipe(replies).pipe(inbound);
  return { requests, replies, destroy };
};

/**
 * Starts a TCP proxy on a free loopback port.
 *
 * @param targetPort - port that connections are forwarded to; it can be set later
 * @returns the link
 */
export default async function createLink(targetPort = 0): Promise<Link> {
  let target = targetPort;
  let mode: LinkMode = 'pass';
  let listener: (chunk: Buffer) => Promise<void> | void = () => undefined;
  const connections = new Set<Connection>();
  const server = net.createServer((inbound) => {
    if (mode === 'refuse') {
      inbound.resetAndDestroy();
      return;
    }
    const connection = connect(inbound, target, mode, (chunk) => listener(chunk));
    connections.add(connection);
    inbound.on('close', () => connections.delete(connection));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, ADDRESS, resolve);
  });
  const setMode = (next: LinkMode): void => {
    mode = next;
    connections.forEach((connection) => {
      connection.requests.setOpen(allowsRequests(next));
      connection.replies.setOpen(next === 'pass');
      if (next === 'refuse') {
        connection.destroy();
      }
    });
  };
  return {
    port: (server.address() as net.AddressInfo).port,
    setMode,
    setTarget: (port) => {
      target = port;
    },
    onReply: (next) => {
      listener = next;
    },
    close: () => {
      setMode('refuse');
      server.close();
    },
  };
}
