import type { BatchSpec } from '@bergamotcove/config';

/** Work of one stage of a request. */
export interface StageNeed {
  readonly pool: string;
  /** Indexes of the stages before. */
  readonly after: readonly number[];
  readonly pieces: number;
  /** Pieces of the same kind take about the same time. */
  readonly kind: string;
  /** Usual size of one result. */
  readonly resultBytes: number;
}

/** A part of a prompt; requests share parts. */
export interface PartNeed {
  readonly partId: string;
  readonly tokens: number;
}

/** What a request needs of the pools of a region. */
export interface PipelineNeed {
  readonly requestId: string;
  /** Worth of an answer on time, compared with that of others. */
  readonly value: number;
  readonly stages: readonly StageNeed[];
  /** Time by which the answer has to begin to be on time. */
  readonly dueAtMs: number;
  /** Time after which an answer is of no use. */
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
}

/** How the stage servers of a pool do at the moment. */
export interface StagePoolState {
  readonly spec: BatchSpec;
  /** Servers, each counted by its speed relative to what is usual. */
  readonly speed: number;
  /** Learnt times of pieces by kind. */
  readonly pieceMs: ReadonlyMap<string, number>;
}

/** Whether a request begins, and where its stages run. */
export type EntryDecision =
  /** It is expected to be on time. */
  | { readonly type: 'on-time'; readonly expectedAtMs: number; readonly regions: readonly string[] }
  /** It is expected to be late, but well within its deadline. */
  | { readonly type: 'late'; readonly expectedAtMs: number; readonly regions: readonly string[] }
  /** It would miss its deadline, or use up what others need to be on time. */
  | { readonly type: 'refused'; readonly expectedAtMs: number; readonly retryAfterMs: number };
