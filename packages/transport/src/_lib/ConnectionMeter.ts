import type { Socket } from 'node:net';
import type { Connection } from './findConnectionPhase.js';

/** Bounds of what the connections of one listener hold, one by one and together. */
export interface ConnectionBounds {
  /** Open requests of a connection from which on nothing more of it is read. */
  readonly maxOpenRequests: number;
  /** Limit of the time in which a client takes no byte of an answer that waits for it. */
  readonly stallTimeoutMs: number;
  /** Connections of the listener. */
  readonly maxConnections: number;
  /** Bytes that all connections of the listener hold: read and not handled, written and not taken, and requests. */
  readonly maxHeldBytes: number;
}

/** Bounds of a listener whose clients are known. */
export const DEFAULT_BOUNDS: ConnectionBounds = {
  maxOpenRequests: 8,
  stallTimeoutMs: 60_000,
  maxConnections: Infinity,
  maxHeldBytes: Infinity,
};

/** Memory of a parsed request and its response without their bodies; 1 to 5 kB were measured. */
const REQUEST_BYTES = 4_096;
/** Connections that hold less are not closed for memory; a few small requests and answers stay below it. */
const SMALL_BYTES = 24_576;
/** A full listener is brought to this part of its bound, so that it does not close one connection for each read. */
const SHED_TO = 0.75;

/** Parts of a socket's handle that tell how much of a write the system has taken; a large answer is a single write. */
interface WriteHandle {
  readonly bytesWritten: number;
  readonly writeQueueSize: number;
}

const countSentBytes = (socket: Socket): number => {
  const { _handle: handle } = socket as unknown as { readonly _handle: WriteHandle | null };
  return handle === null ? 0 : handle.bytesWritten - handle.writeQueueSize;
};

const countHeldBytes = ({ socket, open }: Connection): number =>
  socket.readableLength + socket.writableLength + open.size * REQUEST_BYTES;

/** Counts what the connections of a listener hold. */
export default class ConnectionMeter {
  private totalBytes = 0;

  constructor(private readonly bounds: ConnectionBounds) {}

  get isOver(): boolean {
    return this.totalBytes > this.bounds.maxHeldBytes;
  }

  /** Whether nothing more of a connection may be read now. The rest of a body that was begun is read. */
  isFull({ open, newestRequest, socket }: Connection): boolean {
    const isBetween = newestRequest?.complete !== false;
    return isBetween && open.size > 0 && (open.size >= this.bounds.maxOpenRequests || socket.writableNeedDrain);
  }

  /** Updates the sum by what a connection holds now. */
  measure(connection: Connection): void {
    const one = connection;
    const bytes = countHeldBytes(one);
    this.totalBytes += bytes - one.heldBytes;
    one.heldBytes = bytes;
  }

  remove(connection: Connection): void {
    const one = connection;
    this.totalBytes -= one.heldBytes;
    one.heldBytes = 0;
  }

  /** Notes whether the client has taken bytes since the last call, and tells whether it has not for too long. */
  isStalled(connection: Connection, nowMs: number): boolean {
    const one = connection;
    const sentBytes = countSentBytes(one.socket);
    if (one.socket.writableLength === 0 || sentBytes !== one.sentBytes) {
      one.sentBytes = sentBytes;
      one.progressMs = nowMs;
    }
    return nowMs - one.progressMs >= this.bounds.stallTimeoutMs;
  }

  /**
   * Selects connections whose end brings the sum below its bound: those whose clients have taken nothing for longest,
   * and of those the ones that hold most.
   */
  selectShed(connections: Iterable<Connection>): readonly Connection[] {
    let excessBytes = this.totalBytes - this.bounds.maxHeldBytes * SHED_TO;
    const selected: Connection[] = [];
    const large = [...connections].filter(({ heldBytes }) => heldBytes >= SMALL_BYTES);
    large.sort((a, b) => a.progressMs - b.progressMs || b.heldBytes - a.heldBytes);
    large.forEach((connection) => {
      if (excessBytes > 0) {
        excessBytes -= connection.heldBytes;
        selected.push(connection);
      }
    });
    return selected;
  }
}
