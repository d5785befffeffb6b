import type { OperationSpec, StageSpec } from '@bergamotcove/config';

/** One stage in the plan of a request. */
export interface PlannedStage extends StageSpec {
  readonly index: number;
}

/** Stages, deadline and limits of a request. */
export interface RequestPlan {
  readonly requestId: string;
  readonly service: string;
  readonly organisation: string;
  readonly operation: OperationSpec;
  readonly stages: readonly PlannedStage[];
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
  /** Maximum number of counted attempts of one stage, see {@link RequestState.stageAttempts}. */
  readonly maxAttempts: number;
  /** Whether an earlier request with the same key may have run; then a refusal cannot state `not-run`. */
  readonly earlierMayHaveRun?: boolean;
}

/** Complete result of one stage. */
export interface StageOutput {
  readonly stage: string;
  readonly output: unknown;
}

/** One attempt to run a stage on a backend server. */
export interface Attempt {
  readonly attemptId: string;
  readonly stageIndex: number;
  /** A queued attempt has not been sent by this host; a sent one may have run. */
  readonly status: 'queued' | 'sent';
  readonly hedge: boolean;
  readonly serverId?: string;
  readonly sentAtMs?: number;
  /** Index of the first token that this attempt generates. */
  readonly resumeTokenIndex: number;
}

/** Why an attempt failed, and what is known about its effect. */
export type AttemptFailure =
  /** Nothing was sent by this host, for instance because the connection was refused. */
  | { readonly type: 'not-sent' }
  /** The server states that it did not run the request; `leaving` when it is shutting down. */
  | { readonly type: 'refused'; readonly leaving: boolean }
  /**
   * The connection broke, the server crashed, or the server answered with an error status (`answered`). The request may
   * have run.
   */
  | { readonly type: 'connection-lost'; readonly answered?: boolean }
  /** The attempt was abandoned because its server made too little progress; it may be started on another server. */
  | { readonly type: 'stalled' }
  /** No server became available before the deadline. */
  | { readonly type: 'queue-timeout' }
  /** The server's response is not a valid answer to this attempt. */
  | { readonly type: 'invalid-answer' }
  /** The server reports a permanent failure; without `executed` it is unknown whether a call took effect. */
  | { readonly type: 'failed'; readonly message: string; readonly executed?: boolean }
  /** The request is suspected of crashing servers and is not sent again. */
  | { readonly type: 'poisoned'; readonly retryAfterMs: number };

/** Result of claiming an idempotency key. */
export type ClaimDecision =
  /** The claim is durable and belongs to this request. */
  | { readonly type: 'granted' }
  /** The claim could not be made durable; nothing was sent. */
  | { readonly type: 'unavailable'; readonly retryAfterMs: number }
  /** Another request holds the key; `result` is the result of that request. */
  | { readonly type: 'settled'; readonly result: RequestResult };

/** How a request ended. */
export type RequestResult =
  | { readonly type: 'answered'; readonly output: unknown; readonly stages: readonly StageOutput[] }
  | {
      readonly type: 'refused';
      readonly outcome: Outcome;
      readonly reason: RefusalReason;
      readonly retryAfterMs?: number;
    };

/** What is known about the effect of a request without an answer. */
export type Outcome = 'not-run' | 'ran' | 'unknown';

/** Why a request was refused. */
export type RefusalReason =
  | 'deadline-passed'
  | 'no-server'
  | 'store-unavailable'
  | 'stage-failed'
  | 'attempts-exhausted'
  | 'outcome-unknown'
  /** The request ran, but its answer is not kept any more. */
  | 'answer-dropped'
  /** The idempotency key belongs to a request with another body. */
  | 'key-reused'
  | 'poisoned'
  | 'over-limit'
  | 'draining';

/** Phase of a request. */
export type RequestPhase =
  | { readonly type: 'new' }
  | { readonly type: 'claiming'; readonly stageIndex: number }
  | { readonly type: 'running'; readonly stageIndex: number }
  | { readonly type: 'recording'; readonly result: RequestResult }
  | { readonly type: 'finished' };

/** State of one request in flight. */
export interface RequestState {
  readonly plan: RequestPlan;
  readonly phase: RequestPhase;
  /** Open attempts; answers of all other attempts are ignored. */
  readonly attempts: readonly Attempt[];
  /**
   * Number of attempts that count against the limit of the current stage. Hedges do not count, because the hedge budget
   * bounds them. Stalled attempts do not count, because in a network partition they would use up the limit before the
   * reachable servers are tried.
   */
  readonly stageAttempts: number;
  /** Number of the next attempt; part of its id. */
  readonly nextAttempt: number;
  readonly outputs: readonly StageOutput[];
  /** Generated text of the current stage. */
  readonly text: string;
  /** Number of generated tokens of the current stage that arrived in order. */
  readonly tokenCount: number;
  /** Whether the result of the request is recorded under its key: it holds the claim, or its servers check keys. */
  readonly claimed: boolean;
  /** Whether another request holds the key; until that one is settled, nothing proves that the call did not run. */
  readonly contended: boolean;
  /** Whether an attempt of a `once` stage was sent and ended without proof that it did not run. */
  readonly mayHaveRun: boolean;
  /** Servers on which an attempt of this request failed, other than by a failure that the server reported. */
  readonly suspectServers: readonly string[];
}

/** Event of a request. */
export type RequestEvent =
  | { readonly type: 'started' }
  | { readonly type: 'claim-decided'; readonly decision: ClaimDecision }
  /** Another request holds the key; its outcome is awaited. */
  | { readonly type: 'claim-contended' }
  | { readonly type: 'attempt-sent'; readonly attemptId: string; readonly serverId: string }
  | { readonly type: 'attempt-answered'; readonly attemptId: string; readonly output: unknown }
  | {
      readonly type: 'tokens-arrived';
      readonly attemptId: string;
      readonly firstTokenIndex: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly type: 'attempt-failed';
      readonly attemptId: string;
      readonly failure: AttemptFailure;
      /** Whether the retry budget of the service has room. */
      readonly retryAllowed: boolean;
    }
  | { readonly type: 'hedge-due'; readonly attemptId: string }
  | { readonly type: 'deadline-passed' }
  | { readonly type: 'recorded' };

/** Action that the interpreter performs. */
export type RequestAction =
  | { readonly type: 'claim' }
  /** Releases a claim that was granted after the request had ended. */
  | { readonly type: 'release'; readonly result: RequestResult }
  | {
      readonly type: 'dispatch';
      readonly attemptId: string;
      readonly stage: PlannedStage;
      readonly input: unknown;
      readonly resumeTokenIndex: number;
      readonly avoidServers: readonly string[];
      readonly hedge: boolean;
    }
  | { readonly type: 'cancel'; readonly attemptId: string }
  | { readonly type: 'emit-tokens'; readonly firstTokenIndex: number; readonly tokens: readonly string[] }
  | { readonly type: 'record'; readonly result: RequestResult }
  | { readonly type: 'finish'; readonly result: RequestResult };

/** Result of one event: the new state and the actions to perform. */
export interface RequestStep {
  readonly state: RequestState;
  readonly actions: readonly RequestAction[];
}
