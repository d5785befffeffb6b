import type { SendNeed } from '@bergamotcove/decide';

/** Method that asks the host which hands out the sends to a server with a limit for one of them. */
export const TAKE_SEND = 'limits.take';
/** Method that tells that host what an answer said about a limit. */
export const REPORT_LIMIT = 'limits.report';
/** Method that tells all hosts which limits are in force, or have ended. */
export const ANNOUNCE_LIMITS = 'limits.announce';

/** A limit that a server has stated, or its end. */
export interface LimitNotice {
  readonly serverId: string;
  readonly pool: string;
  /** Start of the process that stated it. */
  readonly startedAtMs: number;
  /** Undefined when the limit has ended. */
  readonly requestsPerSecond?: number;
  /** Age of the statement when the message is sent. */
  readonly agoMs: number;
}

/** What a host knows and has seen of a server that started or recovered. */
export interface PaceNotice {
  readonly serverId: string;
  /** Start of the process as the host knows it. */
  readonly startedAtMs: number;
  /** Remaining cold time. */
  readonly coldMs: number;
  /** Answers as quick as those of warm servers since the last notice. */
  readonly quick: number;
  /** Whether a connection broke, or an answer was slow or a refusal, since the last notice. */
  readonly isReset: boolean;
}

/** Asks for a send. */
export interface TakeRequest {
  readonly need: SendNeed;
  /** What the asking host knows of the limits, for a host that has begun to hand out sends. */
  readonly known: readonly LimitNotice[];
  /** Servers that started or recovered; undefined without any, and from hosts of earlier versions. */
  readonly paces?: readonly PaceNotice[];
  /** Host that asks; undefined without such servers. */
  readonly askedBy?: string | undefined;
  /** Whether another host has passed the request on. */
  readonly forwarded?: boolean;
}

/** Answer to {@link TakeRequest}. */
export type TakeAnswer =
  | {
      readonly type: 'granted';
      readonly serverId: string;
      readonly notices: readonly LimitNotice[];
      /** Whether the host has regarded the pace of servers; hosts of earlier versions do not. */
      readonly paced?: boolean;
    }
  | { readonly type: 'later'; readonly inMs: number; readonly notices: readonly LimitNotice[] }
  /** Another host hands out the sends, and did not answer. */
  | { readonly type: 'not-owner' };

/** Limits in force, and limits that have ended. */
export interface LimitAnnouncement {
  readonly hostId: string;
  readonly notices: readonly LimitNotice[];
  /** Servers that started or recovered. */
  readonly paces?: readonly PaceNotice[];
}
