import planPipeline, { type PipelineOutlook, type RegionPools } from './planPipeline.js';
import type { EntryDecision, PipelineNeed } from './types.js';

/** The stage pools of one region as requests of different values see them. */
export interface RankedPools extends Omit<RegionPools, 'loadMs'> {
  /** Time that the pool needs for requests of at least the given value. */
  readonly loadMs: (pool: string, minValue: number) => number;
}

/** Load of the pools as a request sees it. */
export interface EntryOutlook extends Omit<PipelineOutlook, 'home' | 'others'> {
  readonly home: RankedPools;
  readonly others: readonly RankedPools[];
}

/**
 * A request yields to those worth about as much or more. What is worth much less is put behind it by the order of the
 * stage queues, so it does not keep the request from being on time.
 */
const YIELD_SHARE = 0.6;
/** Part of the time to the deadline in which a late request has to be served by the prediction. */
const LATE_SHARE = 0.6;
const MIN_RETRY_AFTER_MS = 150;
/** Callers wait for at most this part of the time that they have left. */
const MAX_RETRY_SHARE = 1 / 3;

/** The pools behind requests of at least the given value. */
export const withValue = ({ home, others, ...outlook }: EntryOutlook, minValue: number): PipelineOutlook => {
  const narrow = (pools: RankedPools): RegionPools => ({
    ...pools,
    loadMs: (pool) => pools.loadMs(pool, minValue),
  });
  return { ...outlook, home: narrow(home), others: others.map(narrow) };
};

/**
 * Decides whether a request begins, before anything is done for it. Work for a request that is then given up costs as
 * much as work for one that is served, and a refusal in the first moments lets its caller come back.
 *
 * @param need - what the request needs
 * @param outlook - load of the region
 * @returns the decision
 */
export default function decideEntry(need: PipelineNeed, outlook: EntryOutlook): EntryDecision {
  const first = planPipeline(need, withValue(outlook, need.value * YIELD_SHARE));
  if (first.endAtMs <= need.dueAtMs) {
    return { type: 'on-time', expectedAtMs: first.endAtMs, regions: first.regions };
  }
  const behindAll = planPipeline(need, withValue(outlook, 0));
  const latestMs = need.arrivedAtMs + (need.deadlineAtMs - need.arrivedAtMs) * LATE_SHARE;
  if (behindAll.endAtMs <= latestMs) {
    return { type: 'late', expectedAtMs: behindAll.endAtMs, regions: behindAll.regions };
  }
  const leftMs = need.deadlineAtMs - outlook.nowMs;
  const wantedMs = Math.max(MIN_RETRY_AFTER_MS, behindAll.endAtMs - latestMs);
  const retryAfterMs = Math.min(wantedMs, leftMs * MAX_RETRY_SHARE);
  return { type: 'refused', expectedAtMs: behindAll.endAtMs, retryAfterMs };
}
