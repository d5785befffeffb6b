import type { EngineEvent, StageNeed } from '@bergamotcove/decide';
import type { PromptPart } from '../ports.js';

/** Method that asks the scheduler of a region whether a request begins. */
export const ENTER = 'schedule.enter';
/** Method that asks the scheduler of a region for an engine. */
export const PLACE = 'schedule.place';
/** Message that tells the scheduler of a region what became of a request. */
export const NOTE = 'schedule.note';
/** Message of a batch owner to the scheduler of its region. */
export const REPORT_POOL = 'schedule.pool';
/** Message of the scheduler of a region to that of another. */
export const REPORT_REGION = 'schedule.region';

/** Message that tells a new scheduler which requests are open. */
export const REOPEN = 'schedule.reopen';

/** A request that was admitted by an earlier scheduler. Times are relative to the message. */
export interface OpenRequest {
  readonly requestId: string;
  readonly value: number;
  readonly stages: readonly StageNeed[];
  /** Region by stage. */
  readonly regions: readonly string[];
  readonly deadlineInMs: number;
  readonly endedStages: readonly number[];
}

/** A generation at the end of the stages. */
export interface GenerationRequest {
  readonly pool: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
}

/** Asks whether a request begins. Times are relative to the message. */
export interface EnterRequest {
  readonly requestId: string;
  readonly value: number;
  readonly stages: readonly StageNeed[];
  readonly dueInMs: number;
  readonly deadlineInMs: number;
  readonly generation: GenerationRequest | undefined;
  /** Whether the caller's own region has sent the request here. */
  readonly visiting: boolean;
}

/** Answer to {@link EnterRequest}. */
export type EnterAnswer =
  | {
      readonly type: 'admitted';
      readonly tier: 'on-time' | 'late';
      /** Expected time to the begin of the answer. */
      readonly expectedInMs: number;
      /** Part of it after the last stage. */
      readonly answerMs: number;
      /** Failure domain of the engine that holds most of the prompt. */
      readonly failureDomain: string | undefined;
      /** Region by stage. */
      readonly regions: readonly string[];
    }
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** Another region is expected to serve it on time. */
  | { readonly type: 'elsewhere'; readonly region: string };

/** Asks for an engine. */
export interface PlaceRequest extends GenerationRequest {
  readonly requestId: string;
  /** Time to the deadline; hosts of an earlier version do not tell it. */
  readonly deadlineInMs?: number;
  /** Bytes of stage results by the failure domain that holds them. */
  readonly resultBytes: Readonly<Record<string, number>>;
  readonly avoidServers: readonly string[];
}

/** Answer to {@link PlaceRequest}. */
export interface PlaceAnswer {
  /** Undefined when the region has no engine. */
  readonly serverId?: string;
  /** Expected time to the first token. */
  readonly firstTokenMs?: number;
}

/** What became of a request. */
export type RequestNote =
  | { readonly type: 'stage-ended'; readonly requestId: string; readonly stage: number }
  | { readonly type: 'left'; readonly requestId: string }
  | { readonly type: 'engine'; readonly pool: string; readonly event: EngineEvent };

/** How the stage servers of a pool do. */
export interface PoolReport extends PoolSpeed {
  readonly pool: string;
}

/** Speed of the stage servers of a pool. */
export interface PoolSpeed {
  /** Servers, each counted by its speed relative to what is usual. */
  readonly speed: number;
  /** Learnt times of pieces by kind. */
  readonly pieceMs: Readonly<Record<string, number>>;
}

/** Time that a pool needs for the work of requests of at least each of the {@link VALUE_STEPS}. */
export type StepLoadsMs = readonly number[];

/** Load of the stage pools of a region, by pool. */
export interface RegionReport {
  readonly region: string;
  readonly speeds: Readonly<Record<string, PoolSpeed>>;
  /** Work of the region's own pools, without what the receiver sends there. */
  readonly loadsMs: Readonly<Record<string, StepLoadsMs>>;
  /** Work that the region sends to the pools of the receiver. */
  readonly sentMs: Readonly<Record<string, StepLoadsMs>>;
}
