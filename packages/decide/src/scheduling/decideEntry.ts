import type { RoomOptions } from './createWorkLedger.js';
import planPipeline, { type PipelineOutlook, type RegionPools } from './planPipeline.js';
import type { EntryDecision, PipelineNeed } from './types.js';

/** The stage pools of one region, with a load that depends on the value of the request. */
export interface RankedPools extends Omit<RegionPools, 'loadMs' | 'roomByteMs'> {
  /** Returns the time in ms that the pool needs for requests of at least the given value. */
  readonly loadMs: (pool: string, minValue: number) => number;
  /** Returns the memory that results of requests of at least the given value occupy at the pool; see `WorkLedger`. */
  readonly roomByteMs?: (pool: string, minValue: number, options: RoomOptions) => number | undefined;
}

/** Conditions under which the admission of a request is decided. */
export interface EntryOutlook extends Omit<PipelineOutlook, 'home' | 'others'> {
  readonly home: RankedPools;
  readonly others: readonly RankedPools[];
}

/**
 * Requests of at least this share of the request's value count as ahead of it. Requests of a lower value do not delay
 * it, because the order of the stage queues puts them behind it.
 */
const OUTRANKING_VALUE_SHARE = 0.6;
/** Share of the time from arrival to deadline within which a late request must be predicted to be served. */
const LATE_DEADLINE_SHARE = 0.6;
const MIN_RETRY_AFTER_MS = 150;
/** Upper bound of the retry delay, as a share of the time that is left until the deadline. */
const MAX_RETRY_SHARE = 1 / 3;

/** Returns the outlook in which only requests of at least the given value count as load. */
export const withMinValue = ({ home, others, ...outlook }: EntryOutlook, minValue: number): PipelineOutlook => {
  const bindMinValue = ({ roomByteMs, ...pools }: RankedPools): RegionPools => ({
    ...pools,
    loadMs: (pool) => pools.loadMs(pool, minValue),
    ...(roomByteMs === undefined
      ? {}
      : { roomByteMs: (pool, kind, aboveByteMs) => roomByteMs(pool, minValue, { kind, aboveByteMs }) }),
  });
  return { ...outlook, home: bindMinValue(home), others: others.map(bindMinValue) };
};

/**
 * Decides whether to admit a request before any work is done for it. Work for a request that is abandoned later costs
 * as much as work for one that is served, and an early refusal leaves the caller time to retry.
 *
 * @param need - work that the request requires
 * @param outlook - state and load of the pools
 * @returns the decision
 */
export default function decideEntry(need: PipelineNeed, outlook: EntryOutlook): EntryDecision {
  const behindSimilar = planPipeline(need, withMinValue(outlook, need.value * OUTRANKING_VALUE_SHARE));
  if (behindSimilar.endAtMs <= need.dueAtMs) {
    const { endAtMs, regions, holds } = behindSimilar;
    return { type: 'on-time', expectedAtMs: endAtMs, regions, holds };
  }
  const behindAll = planPipeline(need, withMinValue(outlook, 0));
  const latestLateAtMs = need.arrivedAtMs + (need.deadlineAtMs - need.arrivedAtMs) * LATE_DEADLINE_SHARE;
  if (behindAll.endAtMs <= latestLateAtMs) {
    const { endAtMs, regions, holds } = behindAll;
    return { type: 'late', expectedAtMs: endAtMs, regions, holds };
  }
  const remainingMs = need.deadlineAtMs - outlook.nowMs;
  const unboundedRetryMs = Math.max(MIN_RETRY_AFTER_MS, behindAll.endAtMs - latestLateAtMs);
  const retryAfterMs = Math.min(unboundedRetryMs, remainingMs * MAX_RETRY_SHARE);
  return { type: 'refused', expectedAtMs: behindAll.endAtMs, retryAfterMs };
}
