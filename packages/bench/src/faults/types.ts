import type { Outcome } from '@bergamotcove/decide';

/** Points in the path of a request at which a fault can be injected. */
export type Step =
  | 'accept'
  | 'parse'
  | 'claim'
  | 'send-encode'
  | 'send-retrieve'
  | 'send-rerank'
  | 'send-generate'
  | 'send-call'
  | 'first-byte'
  | 'middle-of-stream'
  | 'last-byte'
  | 'record'
  | 'answer'
  | 'resend';

/** Faults of the matrix. */
export type Fault =
  | 'entry-crash'
  | 'server-crash'
  | 'pause'
  | 'slow'
  | 'reset'
  | 'reply-lost'
  | 'duplicate'
  | 'late'
  | 'swapped'
  | 'store-down'
  | 'store-slow'
  | 'store-reply-lost'
  | 'cut-store'
  | 'cut-peer'
  | 'cut-domain'
  | 'one-way-cut'
  | 'clock-step'
  | 'leaving'
  | 'drain'
  | 'poison';

/** `explain` is idempotent and streamed; `post-entry` is not idempotent and ends with a `once` call. */
export type OperationName = 'explain' | 'post-entry';

/** One fault at one step. */
export interface Injection {
  readonly step: Step;
  readonly fault: Fault;
}

/** How a request ends for its caller; `broken` when no whole, valid answer came in time. */
export type CellOutcome = 'answered' | Outcome | 'broken';

/** How the servers of the `once` stage treat idempotency keys. */
export type Variant = 'plain' | 'status-query' | 'check-keys';

/** One cell of the matrix, or one pair of faults. */
export interface Cell {
  readonly name: string;
  readonly operation: OperationName;
  readonly injections: readonly Injection[];
  /** Allowed outcomes of the first request, stated before the run. */
  readonly allowed: readonly CellOutcome[];
}

/** Protections that the mutation check turns off one at a time. */
export type Protection = 'sequence-fencing' | 'attempt-id' | 'claim-before-send' | 'drain-wait' | 'poison-stop';

/** Result of one run of one cell. */
export interface CellResult {
  readonly cell: Cell;
  readonly seed: number;
  /** Outcomes of the first request and of its resends. */
  readonly outcomes: readonly CellOutcome[];
  /** Descriptions of the violated expectations; empty when the cell passed. */
  readonly violations: readonly string[];
  readonly durationMs: number;
}
