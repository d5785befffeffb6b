import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@bergamotcove/clock';
import type { ConnectionBounds } from './_lib/ConnectionMeter.js';

/** Time limits of a connection that has no request. */
export interface ConnectionLimits {
  /** Limit from the first byte of a head to its end. */
  readonly headerTimeoutMs: number;
  /** Limit of the time without a byte before the first request and between two requests. */
  readonly idleTimeoutMs: number;
}

/** What a connection held when it was refused. */
export type ConnectionLoad = 'nothing' | 'part-of-head' | 'request';

/** A connection that was refused as a whole, or that gets no further request. */
export interface ConnectionRefusal {
  /** Limit that has passed, or the code of the parser. */
  readonly reason: string;
  /** Status that was written; none if the open requests are answered instead. */
  readonly status: number | undefined;
  readonly carried: ConnectionLoad;
  readonly requests: number;
  readonly openRequests: number;
  /** Bytes since the last request, which are the unfinished head. */
  readonly headBytes: number;
  readonly waitedMs: number;
  /** Whether the process stood still while it waited. */
  readonly stoodStill: boolean;
}

/** Options of {@link createConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly clock: Clock;
  readonly limits: ConnectionLimits;
  readonly bounds?: Partial<ConnectionBounds>;
  /** Called for one request of a connection at a time. It may have waited for its turn since it arrived. */
  readonly onRequest: (request: IncomingMessage, response: ServerResponse, arrivedAtMs: number) => void;
  readonly onRefused?: (refusal: ConnectionRefusal) => void;
  /** Called when a request comes on a connection that is about to be closed; it is neither run nor answered. */
  readonly onNotAdmitted?: (requests: number, openRequests: number) => void;
}

/** Decides which requests of a connection are admitted, and when the connection is closed. */
export interface ConnectionGuard {
  setLimits(limits: ConnectionLimits): void;
  /** Closes idle connections once what has come on them is read, and every other one after its last answer. */
  drain(): void;
}
