import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerHead } from '../requests/types.js';

/** Why this host refused or failed a request. */
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
  /** All servers have stated rate limits, and its turn comes too late. */
  | 'limited'
  | 'deadline-passed'
  | 'overtaken'
  | 'poisoned'
  | 'attempts-exhausted'
  /** An exception was thrown while it was served. */
  | 'internal-error'
  | 'timed-out'
  /** A server refused a request that may run once, without stating that it did not run it. */
  | 'refusal-unproved'
  /** It takes up a stream, and where that began is not known or has no server. */
  | 'origin-unknown'
  | 'origin-gone'
  /** The origin of a new stream could not be recorded, so nothing of it was passed on. */
  | 'origin-unrecorded';

/** An answer that this host generates itself. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  /** Time after which a retry is expected to be served, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Step of the stop of this host that concerns a request that is still open. */
export type StopPhase =
  /** What is expected to reach a server only after the end is refused. */
  | 'begin'
  /** What has not been sent to a server is refused, because it could not end here in time. */
  | 'refuse-unsent'
  /** Every request is answered now, because the connections are about to be closed. */
  | 'end';

/** The retry is short because another host can take the request at once. */
export const STOPPING_RETRY_AFTER_MS = 50;

const MS_PER_SECOND = 1_000;

/** One request of a caller and its answer. */
export default class CallerExchange {
  /**
   * Whether the request still needs an answer. False as soon as the answer is complete, although its connection may stay
   * open for long behind an earlier answer, and once it was aborted or the connection closed.
   */
  isOpen = true;

  private readonly disconnectListeners: (() => void)[] = [];

  private stopListener: ((phase: StopPhase) => void) | undefined;

  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    readonly arrivedAtMs: number,
  ) {
    response.sendDate = false;
    response.on('close', () => this.close());
    response.on('error', () => this.close());
    request.on('error', () => undefined);
  }

  /** Registers a callback for the case that the caller disconnects before its answer is complete. */
  onDisconnect(run: () => void): void {
    this.disconnectListeners.push(run);
  }

  /** Registers what answers the request when this host stops; a request without it is refused at the end. */
  onStop(run: (phase: StopPhase) => void): void {
    this.stopListener = run;
  }

  /** Tells an open request that this host stops; one whose answer is complete is left to be sent. */
  stop(phase: StopPhase): void {
    if (!this.isOpen) {
      return;
    }
    if (this.stopListener !== undefined) {
      this.stopListener(phase);
    } else if (phase === 'end') {
      this.refuse({ status: 503, reason: 'stopping', retryAfterMs: STOPPING_RETRY_AFTER_MS });
    }
  }

  /** Whether the head of the answer was sent. */
  get headSent(): boolean {
    return this.response.headersSent;
  }

  sendHead(head: AnswerHead): void {
    if (this.isOpen) {
      this.setConnectionHeader();
      this.response.writeHead(head.status, [...head.headers]);
    }
  }

  /** Sends a chunk of the body. False when the write buffer is full; then wait for the drain event. */
  write(chunk: Uint8Array): boolean {
    return this.response.write(chunk);
  }

  onDrain(run: () => void): void {
    this.response.once('drain', run);
  }

  finish(chunk?: Uint8Array): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.disconnectListeners.length = 0;
      this.response.end(chunk);
    }
  }

  /** Destroys the connection, so that the caller cannot take an answer that is not complete for complete. */
  abort(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.disconnectListeners.length = 0;
      this.response.destroy();
    }
  }

  /** Answers the request unless it was answered; breaks off an answer that has begun. */
  refuse(refusal: Refusal): void {
    if (!this.isOpen || this.headSent) {
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
    // The unread rest of a body would be parsed as the next request.
    if (!this.request.complete) {
      this.response.shouldKeepAlive = false;
    }
  }

  private close(): void {
    this.isOpen = false;
    this.disconnectListeners.splice(0).forEach((run) => run());
  }
}
