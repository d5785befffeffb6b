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

/** Asks for a send. */
export interface TakeRequest {
  readonly need: SendNeed;
  /** What the asking host knows of the limits, for a host that has begun to hand out sends. */
  readonly known: readonly LimitNotice[];
  /** Whether another host has passed the request on. */
  readonly forwarded?: boolean;
}

/** Answer to {@link TakeRequest}. */
export type TakeAnswer =
  | { readonly type: 'granted'; readonly serverId: string; readonly notices: readonly LimitNotice[] }
  | { readonly type: 'later'; readonly inMs: number; readonly notices: readonly LimitNotice[] }
  /** Another host hands out the sends, and did not answer. */
  | { readonly type: 'not-owner' };

/** Limits in force, and limits that have ended. */
export interface LimitAnnouncement {
  readonly hostId: string;
  readonly notices: readonly LimitNotice[];
}
