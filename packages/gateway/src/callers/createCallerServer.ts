import http from 'node:http';
import type { CallerLimits } from '@bergamotcove/config';
import type { Clock } from '@bergamotcove/clock';
import {
  createConnectionGuard,
  listenOnPort,
  type ConnectionBounds,
  type ConnectionGuard,
  type ConnectionRefusal,
  type ListenOptions,
} from '@bergamotcove/transport';
import CallerExchange, { type StopPhase } from './CallerExchange.js';

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions extends ListenOptions {
  readonly clock: Clock;
  readonly bounds?: Partial<ConnectionBounds>;
  readonly onRequest: (exchange: CallerExchange) => void;
  /** Called when a connection is refused as a whole or gets no further request. */
  readonly onRefused: (refusal: ConnectionRefusal) => void;
  /** Called when a request comes on a connection that is about to be closed; it is neither run nor answered. */
  readonly onNotAdmitted: (requests: number, openRequests: number) => void;
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
/** Limits until the first route table is known. */
const FIRST_LIMITS = { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

class Server implements CallerServer {
  port = 0;

  private readonly open = new Set<CallerExchange>();

  private maxHeaderBytes = MAX_HEADER_BYTES;

  private readonly server: http.Server;

  private readonly guard: ConnectionGuard;

  constructor(private readonly options: CallerServerOptions) {
    this.server = http.createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true });
    this.guard = createConnectionGuard(this.server, {
      ...options,
      limits: FIRST_LIMITS,
      onRequest: (request, response, arrivedAtMs) => this.accept(request, response, arrivedAtMs),
    });
  }

  async listen(): Promise<this> {
    this.port = await listenOnPort(this.server, this.options);
    return this;
  }

  setLimits(limits: CallerLimits): void {
    this.guard.setLimits(limits);
    this.maxHeaderBytes = limits.maxHeaderBytes;
  }

  drain(): void {
    this.guard.drain();
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

  private accept(request: http.IncomingMessage, response: http.ServerResponse, arrivedAtMs: number): void {
    const exchange = new CallerExchange(request, response, arrivedAtMs);
    this.open.add(exchange);
    response.once('close', () => this.open.delete(exchange));
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? '').length);
    if (headerBytes > this.maxHeaderBytes) {
      exchange.refuse({ status: 431, reason: 'headers-too-large' });
      return;
    }
    this.options.onRequest(exchange);
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
