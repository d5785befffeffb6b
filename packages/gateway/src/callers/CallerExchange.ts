import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerHead } from '../requests/types.js';

/** Why a request got an answer of this host's own. */
export type RefusalReason =
  | 'no-route-table'
  | 'no-route'
  | 'unknown-key'
  | 'bad-request'
  | 'body-too-large'
  | 'body-too-slow'
  | 'headers-too-large'
  | 'overloaded'
  | 'stopping'
  | 'no-server'
  | 'deadline-passed'
  | 'overtaken'
  | 'poisoned'
  | 'attempts-exhausted'
  | 'timed-out';

/** An answer of this host's own. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  /** When a repeated request is expected to be served. */
  readonly retryAfterMs?: number;
}

const MS_PER_SECOND = 1_000;

/** One request of a caller and the way to answer it. */
export default class CallerExchange {
  /** Whether the caller has gone or was answered. */
  closed = false;

  private readonly disconnectListeners: (() => void)[] = [];

  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    readonly arrivedAtMs: number,
    /** Whether the connection should end with this answer. */
    private readonly endsConnection: () => boolean,
  ) {
    response.sendDate = false;
    response.on('close', () => this.close());
    response.on('error', () => this.close());
    request.on('error', () => undefined);
  }

  /** Runs when the caller has gone before its answer was whole. */
  onDisconnect(run: () => void): void {
    this.disconnectListeners.push(run);
  }

  /** Whether the head of an answer was sent. */
  get headSent(): boolean {
    return this.response.headersSent;
  }

  sendHead(head: AnswerHead): void {
    this.setConnectionHeader();
    this.response.writeHead(head.status, [...head.headers]);
  }

  /** Sends a part of the body; false when the caller reads more slowly than the parts come. */
  write(chunk: Uint8Array): boolean {
    return this.response.write(chunk);
  }

  onDrain(run: () => void): void {
    this.response.once('drain', run);
  }

  finish(chunk?: Uint8Array): void {
    this.disconnectListeners.length = 0;
    this.response.end(chunk);
  }

  /** Breaks the connection, so that the answer cannot look whole. */
  abort(): void {
    this.disconnectListeners.length = 0;
    this.closed = true;
    this.response.destroy();
  }

  refuse(refusal: Refusal): void {
    if (this.closed || this.headSent) {
      this.abort();
      return;
    }
    const body = Buffer.from(JSON.stringify({ title: refusal.reason, status: refusal.status }));
    this.setConnectionHeader();
    this.response.writeHead(refusal.status, {
      'Content-Type': 'application/problem+json',
      'Content-Length': body.length,
      ...(refusal.retryAfterMs === undefined
        ? {}
        : { 'Retry-After': (Math.max(0, refusal.retryAfterMs) / MS_PER_SECOND).toFixed(2) }),
    });
    this.finish(body);
  }

  private setConnectionHeader(): void {
    // A body that was not read to its end would be taken for the next request.
    if (this.endsConnection() || !this.request.complete) {
      this.response.setHeader('Connection', 'close');
      this.response.shouldKeepAlive = false;
    }
  }

  private close(): void {
    this.closed = true;
    this.disconnectListeners.splice(0).forEach((run) => run());
  }
}
