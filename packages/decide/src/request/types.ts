import type { OperationSpec, StageSpec } from '@bergamotcove/config';

/** One stage as planned for a request. */
export interface PlannedStage extends StageSpec {
  readonly index: number;
}

/** What a request runs and by when. */
export interface RequestPlan {
  readonly requestId: string;
  readonly service: string;
  readonly organisation: string;
  readonly operation: OperationSpec;
  readonly stages: readonly PlannedStage[];
  /** Monotonic time of the deadline. */
  readonly deadlineAtMs: number;
  readonly maxAttempts: number;
  /** Whether an earlier request under the same key may have run; then a refusal cannot state `not-run`. */
  readonly earlierMayHaveRun?: boolean;
}

/** Whole result of one stage. */
export interface StageOutput {
  readonly stage: string;
  readonly output: unknown;
}

/** One dispatch of one stage to one backend server. */
export interface Attempt {
  readonly attemptId: string;
  readonly stageIndex: number;
  /** A queued attempt has not left this host; a sent one may have run. */
  readonly status: 'queued' | 'sent';
  readonly hedge: boolean;
  readonly serverId?: string;
  readonly sentAtMs?: number;
  /** First token index that this attempt produces. */
  readonly resumeTokenIndex: number;
}

/** Why an attempt failed and what is known about its effect. */
export type AttemptFailure =
  /** Nothing left this host, for instance the connection was refused. */
  | { readonly type: 'not-sent' }
  /** The server itself says that it did not run the request. */
  | { readonly type: 'refused'; readonly leaving: boolean }
  /** The connection broke or the server crashed, or it answered with an error status (`answered`); it may have run. */
  | { readonly type: 'connection-lost'; readonly answered?: boolean }
  /** The attempt was given up because its server made too little progress; it may be started elsewhere. */
  | { readonly type: 'stalled' }
  /** No server became available before the deadline. */
  | { readonly type: 'queue-timeout' }
  /** The server answered with something that is not an answer to this attempt. */
  | { readonly type: 'invalid-answer' }
  /** The server reports a failure for good; without `executed` it leaves open whether a call took effect. */
  | { readonly type: 'failed'; readonly message: string; readonly executed?: boolean }
  /** The request is suspected of crashing servers and is not sent to another one. */
  | { readonly type: 'poisoned'; readonly retryAfterMs: number };

/** Result of the attempt to claim an idempotency key. */
export type ClaimDecision =
  /** The claim is durable and belongs to this request. */
  | { readonly type: 'granted' }
  /** The claim could not be made durable; nothing was sent. */
  | { readonly type: 'unavailable'; readonly retryAfterMs: number }
  /** Another request holds the key; this is its result. */
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

/** What is known about the effect of a request that has no answer. */
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

/** Progress of a request. */
export type RequestPhase =
  | { readonly type: 'new' }
  | { readonly type: 'claiming'; readonly stageIndex: number }
  | { readonly type: 'running'; readonly stageIndex: number }
  | { readonly type: 'recording'; readonly result: RequestResult }
  | { readonly type: 'finished' };

/** Everything known about one request in flight. */
export interface RequestState {
  readonly plan: RequestPlan;
  readonly phase: RequestPhase;
  /** Open attempts only; an answer for any other attempt is ignored. */
  readonly attempts: readonly Attempt[];
  /**
   * Attempts that count against the limit of the current stage. Hedges and stalled attempts do not count: the hedge
   * budget bounds them, and behind a cut they would use up the limit before the reachable servers are tried.
   */
  readonly stageAttempts: number;
  readonly nextAttempt: number;
  readonly outputs: readonly StageOutput[];
  /** Text of the generation in progress. */
  readonly text: string;
  /** Tokens of the generation in progress that arrived in order. */
  readonly tokenCount: number;
  readonly claimed: boolean;
  /** Whether another request holds the key; until it is settled, nothing proves that the call did not run. */
  readonly contended: boolean;
  /** An attempt of the `once` stage left this host and ended without proof that it did not run. */
  readonly mayHaveRun: boolean;
  /** Servers on which an attempt of this request broke without an answer. */
  readonly suspectServers: readonly string[];
}

/** Something that happened to a request. */
export type RequestEvent =
  | { readonly type: 'started' }
  | { readonly type: 'claim-decided'; readonly decision: ClaimDecision }
  /** The key belongs to another request, whose outcome is awaited. */
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

/** What the interpreter must do next. */
export type RequestAction =
  | { readonly type: 'claim' }
  /** Gives back a claim that was granted after the request had ended. */
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

/** New state and the actions that lead there. */
export interface RequestStep {
  readonly state: RequestState;
  readonly actions: readonly RequestAction[];
}
