import type { EngineEvent, StageNeed } from '@bergamotcove/decide';
import type { PromptPart } from '../ports.js';

/** Method that asks the scheduler of a region to admit a request. */
export const ENTER = 'schedule.enter';
/** Method that asks the scheduler of a region for an engine. */
export const PLACE = 'schedule.place';
/** Message that tells the scheduler of a region about the progress of a request. */
export const NOTE = 'schedule.note';
/** Message with the speed of a pool, from its batch owner to the scheduler of the region. */
export const REPORT_POOL = 'schedule.pool';
/** Message with the load of a region, from its scheduler to that of another region. */
export const REPORT_REGION = 'schedule.region';

/** Message with the open requests of a host, for a new scheduler. */
export const REOPEN = 'schedule.reopen';

/** An open request that a previous scheduler admitted. Times are relative to the arrival of the message. */
export interface OpenRequest {
  readonly requestId: string;
  readonly value: number;
  readonly stages: readonly StageNeed[];
  /** Region by stage. */
  readonly regions: readonly string[];
  readonly deadlineInMs: number;
  readonly endedStages: readonly number[];
}

/** A generation that follows the stages of a request. */
export interface GenerationRequest {
  readonly pool: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
}

/** Asks for the admission of a request. Times are relative to the arrival of the message. */
export interface EnterRequest {
  readonly requestId: string;
  readonly value: number;
  readonly stages: readonly StageNeed[];
  readonly dueInMs: number;
  readonly deadlineInMs: number;
  readonly generation: GenerationRequest | undefined;
  /** Whether the request must be decided here: the scheduler of another region, or its host, has chosen this region. */
  readonly visiting: boolean;
  /** Regions that may serve the request, if not any; hosts of an earlier version ignore it. */
  readonly homeRegions?: readonly string[];
}

/** Answer to {@link EnterRequest}. */
export type EnterAnswer =
  | {
      readonly type: 'admitted';
      readonly tier: 'on-time' | 'late';
      /** Expected time to the start of the answer. */
      readonly expectedInMs: number;
      /** Part of that time that follows the last stage. */
      readonly answerMs: number;
      /** Failure domain of the engine that holds most of the prompt. */
      readonly failureDomain: string | undefined;
      /** Region by stage. */
      readonly regions: readonly string[];
    }
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** Another region is expected to serve the request on time. */
  | { readonly type: 'elsewhere'; readonly region: string };

/** Asks for an engine. */
export interface PlaceRequest extends GenerationRequest {
  readonly requestId: string;
  /** Time to the deadline; hosts of an earlier version do not send it. */
  readonly deadlineInMs?: number;
  /** Bytes of stage results by the failure domain that holds them. */
  readonly resultBytes: Readonly<Record<string, number>>;
  readonly avoidServers: readonly string[];
  /** Version that the engine must have, for a stream that began there; hosts of an earlier version ignore it. */
  readonly softwareVersion?: string;
  /** Regions whose engines may get the request, if not any; hosts of an earlier version ignore it. */
  readonly homeRegions?: readonly string[];
  /** Identifies the request, also when its caller sends it again; hosts of an earlier version do not send it. */
  readonly key?: string;
}

/** Answer to {@link PlaceRequest}. */
export interface PlaceAnswer {
  /** Assigned engine; undefined when the region has none. */
  readonly serverId?: string;
  /** Expected time to the first token. */
  readonly firstTokenMs?: number;
  /** Whether the request may be sent to the engine without asking for permission, although it has a rate limit. */
  readonly permitted?: boolean;
  /** Whether that permission regards the pace of an engine that started; undefined from hosts of earlier versions. */
  readonly paced?: boolean;
  /** Time until the request is expected to get an engine, when all of them have rate limits; ask again then. */
  readonly laterInMs?: number;
}

/** Progress of a request. */
export type RequestNote =
  | { readonly type: 'stage-ended'; readonly requestId: string; readonly stage: number }
  | { readonly type: 'left'; readonly requestId: string }
  | { readonly type: 'engine'; readonly pool: string; readonly event: EngineEvent };

/** Speed of the stage servers of one pool, with its name. */
export interface PoolReport extends PoolSpeed {
  readonly pool: string;
}

/** Speed of the stage servers of a pool. */
export interface PoolSpeed {
  /** Sum of the speeds of the servers, each relative to the typical speed. */
  readonly speed: number;
  /** Learnt time per piece by kind. */
  readonly pieceMs: Readonly<Record<string, number>>;
}

/** Time that a pool needs for the requests of at least a value, for each value of `VALUE_STEPS`. */
export type StepLoadsMs = readonly number[];

/** Load of the stage pools of a region, by pool. */
export interface RegionReport {
  readonly region: string;
  readonly speeds: Readonly<Record<string, PoolSpeed>>;
  /** Load of the region's own pools, without the work that the receiver sends there. */
  readonly loadsMs: Readonly<Record<string, StepLoadsMs>>;
  /** Work that the region sends to the pools of the receiver. */
  readonly sentMs: Readonly<Record<string, StepLoadsMs>>;
}
