import http from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@bergamotcove/config';
import type { Clock } from '@bergamotcove/clock';
import { listenOnPort, type ListenOptions } from '@bergamotcove/transport';
import CallerExchange, { type StopPhase } from './CallerExchange.js';

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions extends ListenOptions {
  readonly clock: Clock;
  readonly onRequest: (exchange: CallerExchange) => void;
  /** Called when a message cannot be parsed; it is answered or its connection dropped. */
  readonly onInvalid: (reason: string) => void;
}

/** HTTP server for callers. */
export interface CallerServer {
  readonly port: number;
  setLimits(limits: CallerLimits): void;
  /** Closes idle connections now, and every other one after its answer. */
  drain(): void;
  /** Tells every open request about a step of the stop of this host. */
  stopOpen(phase: StopPhase): void;
  /** Stops listening and closes every connection at once. */
  close(): void;
  openRequests(): number;
}

/** Header limit of the parser. The limit of the route table is checked after parsing. */
const MAX_HEADER_BYTES = 65_536;
/** Interval of the check for connections that exceed the header timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

const STATUS_OF_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

class Server implements CallerServer {
  port = 0;

  private draining = false;

  private readonly open = new Set<CallerExchange>();

  private maxHeaderBytes = MAX_HEADER_BYTES;

  private readonly server: http.Server;

  constructor(private readonly options: CallerServerOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
        keepAliveTimeout: 15_000,
        headersTimeout: 3_000,
      },
      (request, response) => this.accept(request, response),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.refuse(error, socket as Socket));
  }

  async listen(): Promise<this> {
    this.port = await listenOnPort(this.server, this.options);
    return this;
  }

  setLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.maxHeaderBytes = limits.maxHeaderBytes;
  }

  drain(): void {
    this.draining = true;
    this.server.closeIdleConnections();
  }

  stopOpen(phase: StopPhase): void {
    [...this.open].forEach((exchange) => exchange.stop(phase));
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  openRequests(): number {
    return this.open.size;
  }

  private accept(request: http.IncomingMessage, response: http.ServerResponse): void {
    const exchange = new CallerExchange(request, response, this.options.clock.monotonicMs(), () => this.draining);
    this.open.add(exchange);
    response.once('close', () => this.open.delete(exchange));
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? '').length);
    if (headerBytes > this.maxHeaderBytes) {
      exchange.refuse({ status: 431, reason: 'headers-too-large' });
      return;
    }
    this.options.onRequest(exchange);
  }

  private refuse(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.onInvalid(error.code ?? error.message);
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = STATUS_OF_ERROR[error.code ?? ''] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}

/**
 * Starts the HTTP server for callers.
 *
 * @param options - address and request handler
 * @returns the server, once it listens; rejects when the address cannot be bound
 */
export default function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  return new Server(options).listen();
}
