import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import ConnectionMeter, { DEFAULT_BOUNDS, type ConnectionBounds } from './_lib/ConnectionMeter.js';
import type { ConnectionGuard, ConnectionGuardOptions, ConnectionLimits } from './connectionTypes.js';
import findIdle from './_lib/findIdle.js';
import feedParser from './_lib/feedParser.js';
import findConnectionPhase, {
  countHeadBytes,
  createConnection,
  type Connection,
  type ConnectionPhase,
} from './_lib/findConnectionPhase.js';

const MIN_INTERVAL_MS = 25;
const MAX_INTERVAL_MS = 500;
const INTERVALS_PER_LIMIT = 4;
/** An answer is lost if its connection is closed while bytes of the client arrive. */
const LINGER_MS = 500;

/** Code of the parser when the client ends its side within a message. */
const CLIENT_END = 'HPE_INVALID_EOF_STATE';

const BAD_REQUEST = '400 Bad Request';
const HEAD_TIMEOUT = '408 Request Timeout';
const STATUS_OF_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: HEAD_TIMEOUT,
};

/** Has an answer close its connection, unless another request of the connection comes before its head is sent. */
const endAfter = (response: ServerResponse | undefined): void => {
  if (response?.headersSent === false) {
    response.shouldKeepAlive = false;
  }
};

/**
 * Runs the callback when the answers before a response are sent. An answer that breaks off ends the connection, and a
 * pipelined request that ran by then would get no answer.
 */
const whenInTurn = (response: ServerResponse, run: () => void): void => {
  if (response.socket === null) {
    response.once('socket', run);
  } else {
    run();
  }
};

/** Ends the newest request if its body cannot be parsed; what reads the body answers it. */
const reportBodyError = ({ newestRequest, bodyError }: Connection): void => {
  if (bodyError !== undefined && newestRequest !== undefined && newestRequest.listenerCount('error') > 0) {
    newestRequest.emit('error', bodyError);
  }
};

/** Reads and ignores what still arrives, so that it reaches neither the parser nor the client as a reset. */
const discardInput = (socket: Socket): void => {
  socket.removeAllListeners('data');
  socket.on('data', () => undefined);
  socket.once('end', () => socket.end());
  socket.resume();
};

class Guard implements ConnectionGuard {
  private readonly connections = new Map<Socket, Connection>();

  private limits: ConnectionLimits;

  private draining = false;

  /** Time for which the process ran, as of the last tick; a standstill counts as one interval. */
  private ranMs = 0;

  private tickedAtMs = 0;

  private ticking = false;

  private tickIsLate = false;

  /** Value of `ranMs` at the end of the last standstill. */
  private stoodStillMs = -1;

  private readonly bounds: ConnectionBounds;

  private readonly meter: ConnectionMeter;

  constructor(
    private readonly server: Server,
    private readonly options: ConnectionGuardOptions,
  ) {
    this.limits = options.limits;
    this.bounds = { ...DEFAULT_BOUNDS, ...options.bounds };
    this.meter = new ConnectionMeter(this.bounds);
    const { onRequest } = options;
    server.on('connection', (socket: Socket) => this.add(socket));
    server.on('request', (request, response) => this.admit(request, response, onRequest));
    server.on('checkContinue', (request, response) =>
      this.admit(request, response, (...admitted) => {
        response.writeContinue();
        onRequest(...admitted);
      }),
    );
    server.on('checkExpectation', (request, response) =>
      this.admit(request, response, () => response.writeHead(417).end()),
    );
    server.on('clientError', (error, socket) => this.handleError(error, socket as Socket));
    // Without a listener, the server destroys connections at its keep-alive timeout.
    server.on('timeout', () => undefined);
    this.setLimits(options.limits);
  }

  setLimits(limits: ConnectionLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = 0;
  }

  drain(): void {
    this.draining = true;
    this.connections.forEach(({ newest }) => endAfter(newest));
    // A request may wait unread, so the sockets are read first. The server itself would also cut answers that are not sent.
    setImmediate(() =>
      this.connections.forEach((connection) => {
        if (connection.requests > 0 && findConnectionPhase(connection) === 'idle') {
          connection.socket.destroy();
        }
      }),
    );
  }

  private get intervalMs(): number {
    const { headerTimeoutMs, idleTimeoutMs } = this.limits;
    const wantedMs = Math.min(headerTimeoutMs, idleTimeoutMs) / INTERVALS_PER_LIMIT;
    return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, wantedMs));
  }

  private add(socket: Socket): void {
    const connection = createConnection(socket, this.ranMs);
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.meter.remove(connection);
      // The server reports this only to the answer that is being sent, not to the ones that wait behind it.
      process.nextTick(() => [...connection.open].forEach((response) => response.emit('close')));
    });
    feedParser(
      connection,
      () => this.meter.isFull(connection),
      () => this.measure(connection),
    );
    socket.on('drain', () => this.resume(connection));
    if (this.connections.size > this.bounds.maxConnections) {
      this.makeRoom(connection);
    }
    if (!this.ticking) {
      this.ticking = true;
      this.tickedAtMs = this.options.clock.monotonicMs();
      this.scheduleTick();
    }
  }

  private admit(request: IncomingMessage, response: ServerResponse, run: ConnectionGuardOptions['onRequest']): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined) {
      return;
    }
    const { newest, open } = connection;
    if (connection.closing || (newest?.headersSent === true && !newest.shouldKeepAlive)) {
      connection.closing = true;
      request.resume();
      this.options.onNotAdmitted?.(connection.requests, open.size);
      return;
    }
    if (newest?.headersSent === false) {
      // Only the answer to the last request may close the connection.
      newest.shouldKeepAlive = true;
    }
    connection.requests += 1;
    connection.newest = response;
    connection.newestRequest = request;
    connection.bodyError = undefined;
    connection.requestBytes = connection.parsedBytes;
    connection.bodyLeftBytes = Number(request.headers['content-length'] ?? 0);
    connection.phase = undefined;
    open.add(response);
    this.renew(connection);
    request.once('end', () => {
      if (connection.newestRequest === request) {
        connection.requestBytes = connection.parsedBytes;
      }
    });
    response.once('close', () => this.release(connection, response));
    if (this.draining) {
      endAfter(response);
    }
    const arrivedAtMs = this.options.clock.monotonicMs();
    whenInTurn(response, () => {
      run(request, response, arrivedAtMs);
      if (connection.newestRequest === request) {
        reportBodyError(connection);
      }
    });
  }

  private release(connection: Connection, response: ServerResponse): void {
    const one = connection;
    one.open.delete(response);
    this.measure(one);
    this.resume(one);
    if (one.newest === response) {
      one.newest = undefined;
    }
    if (one.open.size === 0 && (this.draining || one.closing)) {
      one.closing = true;
      one.socket.end();
      discardInput(one.socket);
    }
  }

  /** Lists a connection behind the ones that have been idle for longer. */
  private renew(connection: Connection): void {
    const one = connection;
    one.activeMs = this.ranMs;
    this.connections.delete(one.socket);
    this.connections.set(one.socket, one);
    this.measure(one);
  }

  /**
   * Reads on when a connection holds less, in a later round of the event loop: requests that are answered at once would
   * otherwise keep it for as long as the client sends. When this host stops, what was not read by then is not served.
   */
  private resume(connection: Connection): void {
    const one = connection;
    if (one.isHeld && !this.draining && !this.meter.isFull(one)) {
      one.isHeld = false;
      setImmediate(() => one.socket.resume());
    }
  }

  private measure(connection: Connection): void {
    if (this.connections.has(connection.socket)) {
      this.meter.measure(connection);
      if (this.meter.isOver) {
        this.meter.selectShed(this.connections.values()).forEach((one) => this.cut(one, 'memory'));
      }
    }
  }

  /** Closes the connection that has been idle for longest, or the new one if none has been idle for a while. */
  private makeRoom(connection: Connection): void {
    this.cut(findIdle(this.connections.values(), this.ranMs) ?? connection, 'connections');
  }

  /** Closes a connection at once, with the answers that it is owed. */
  private cut(connection: Connection, reason: string): void {
    const one = connection;
    this.report(one, reason, undefined);
    one.closing = true;
    this.connections.delete(one.socket);
    this.meter.remove(one);
    one.socket.destroy();
  }

  private handleError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || error.code === 'ECONNRESET' || socket.destroyed) {
      socket.destroy();
    } else if (!connection.closing && socket.writable) {
      const { newest, open } = connection;
      this.refuse(connection, error.code ?? error.message, STATUS_OF_ERROR[error.code ?? ''] ?? BAD_REQUEST);
      if (newest?.req.complete === false) {
        connection.bodyError = error;
        if (newest.socket !== null) {
          reportBodyError(connection);
        }
      } else if (error.code === CLIENT_END && open.size > 0) {
        socket.end();
      }
    }
  }

  /** Admits no further request, and writes an answer only if no other one is owed on the connection. */
  private refuse(connection: Connection, reason: string, answer: string): void {
    const { socket, open, newest } = connection;
    const isOwned = open.size > 0;
    this.report(connection, reason, isOwned ? undefined : Number.parseInt(answer, 10));
    Object.assign(connection, { closing: true });
    if (isOwned) {
      endAfter(newest);
    } else {
      socket.end(`HTTP/1.1 ${answer}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
    discardInput(socket);
  }

  private report(connection: Connection, reason: string, status: number | undefined): void {
    const { open, newestRequest, requests, phase, phaseBeganMs } = connection;
    const headBytes = newestRequest?.complete === false ? 0 : countHeadBytes(connection);
    const partial = headBytes > 0 ? 'part-of-head' : 'nothing';
    this.options.onRefused?.({
      reason,
      status,
      carried: open.size > 0 ? 'request' : partial,
      requests,
      openRequests: open.size,
      headBytes,
      waitedMs: phase === undefined ? 0 : Math.round(this.ranMs - phaseBeganMs),
      stoodStill: phase !== undefined && this.stoodStillMs > phaseBeganMs,
    });
  }

  private scheduleTick(): void {
    const { intervalMs } = this;
    this.options.clock.schedule(intervalMs, () => this.tick(intervalMs));
  }

  private tick(intervalMs: number): void {
    const nowMs = this.options.clock.monotonicMs();
    const elapsedMs = nowMs - this.tickedAtMs;
    const wasLate = this.tickIsLate;
    this.tickedAtMs = nowMs;
    this.ranMs += Math.min(elapsedMs, intervalMs);
    this.tickIsLate = elapsedMs >= 2 * intervalMs;
    if (this.tickIsLate) {
      this.stoodStillMs = this.ranMs;
    }
    this.connections.forEach((connection) => {
      this.measure(connection);
      if (this.meter.isStalled(connection, this.ranMs)) {
        this.cut(connection, 'unread-answers');
      }
    });
    const over = [...this.connections.values()].filter((connection) => this.isOver(connection));
    if (!this.tickIsLate || wasLate) {
      // Timers run before sockets are read, so a request that has come in time may not be parsed yet.
      setImmediate(() => over.filter((connection) => this.isOver(connection)).forEach((one) => this.end(one)));
    }
    this.ticking = this.connections.size > 0;
    if (this.ticking) {
      this.scheduleTick();
    }
  }

  /** Updates the phase of a connection and tells whether it has exceeded its limit. */
  private isOver(connection: Connection): boolean {
    const one = connection;
    const phase = findConnectionPhase(one);
    if (one.phase !== phase) {
      one.phase = phase;
      one.phaseBeganMs = this.ranMs;
    }
    return this.ranMs - one.phaseBeganMs >= this.findLimitMs(phase);
  }

  private findLimitMs(phase: ConnectionPhase): number {
    switch (phase) {
      case 'idle':
        return this.limits.idleTimeoutMs;
      case 'head':
        return this.limits.headerTimeoutMs;
      case 'request':
        return Infinity;
      case 'ending':
        return LINGER_MS;
      default:
        return phase satisfies never;
    }
  }

  private end(connection: Connection): void {
    const { socket, phase, requests } = connection;
    if (socket.destroyed) {
      return;
    }
    if (phase === 'head') {
      this.refuse(connection, 'head-timeout', HEAD_TIMEOUT);
      return;
    }
    if (phase === 'idle' && requests === 0) {
      this.report(connection, 'no-request', undefined);
    }
    socket.destroy();
  }
}

/**
 * Guards the connections of an HTTP server, whose listeners for requests and client errors it replaces. A connection
 * with an open request gets no other answer than the ones to its requests, and on one that was refused as a whole no
 * request is read. Time in which the process stood still counts towards no limit.
 *
 * @param server - server without listeners of its own
 * @param options - clock, limits and callbacks
 * @returns the guard, which needs no close: its timer ends with the last connection
 */
export default function createConnectionGuard(server: Server, options: ConnectionGuardOptions): ConnectionGuard {
  return new Guard(server, options);
}
