import predictPipeline, { type PipelineOutlook } from './predictPipeline.js';
import type { EntryDecision, PipelineNeed } from './types.js';

/** Load of the pools as a request sees it. */
export interface EntryOutlook extends Omit<PipelineOutlook, 'loadMs'> {
  /** Time that the pool needs for requests of at least the given value. */
  readonly loadMs: (pool: string, minValue: number) => number;
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

/**
 * Decides whether a request begins, before anything is done for it. Work for a request that is then given up costs as
 * much as work for one that is served, and a refusal in the first moments lets its caller come back.
 *
 * @param need - what the request needs
 * @param outlook - load of the region
 * @returns the decision
 */
export default function decideEntry(need: PipelineNeed, outlook: EntryOutlook): EntryDecision {
  const first = predictPipeline(need, { ...outlook, loadMs: (pool) => outlook.loadMs(pool, need.value * YIELD_SHARE) });
  if (first <= need.dueAtMs) {
    return { type: 'on-time', expectedAtMs: first };
  }
  const behindAll = predictPipeline(need, { ...outlook, loadMs: (pool) => outlook.loadMs(pool, 0) });
  const latestMs = need.arrivedAtMs + (need.deadlineAtMs - need.arrivedAtMs) * LATE_SHARE;
  if (behindAll <= latestMs) {
    return { type: 'late', expectedAtMs: behindAll };
  }
  const leftMs = need.deadlineAtMs - outlook.nowMs;
  const wantedMs = Math.max(MIN_RETRY_AFTER_MS, behindAll - latestMs);
  const retryAfterMs = Math.min(wantedMs, leftMs * MAX_RETRY_SHARE);
  return { type: 'refused', expectedAtMs: behindAll, retryAfterMs };
}
