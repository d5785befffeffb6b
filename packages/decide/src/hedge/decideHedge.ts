/** Progress of an attempt that may be hedged. */
export interface HedgeFacts {
  /** Time since the attempt was sent. */
  readonly elapsedMs: number;
  /** Time per token of the attempt so far; a lower bound while no token has arrived. */
  readonly paceMs: number;
  /** Estimated number of tokens that are left. */
  readonly remainingTokens: number;
  /** Work, in tokens, that another server repeats before it reaches the progress of this attempt. */
  readonly repeatTokens: number;
}

/** Usual pace of the pool. */
export interface HedgeNorm {
  /** Usual time per token in the pool. */
  readonly poolMsPerToken: number;
  /** Learnt quantile of the ratio of an attempt's pace to that of the pool; undefined while it is not known. */
  readonly paceQuantile: number | undefined;
}

/** Minimum ratio to the pace of the pool for a hedge; lower ratios are normal variation between batches. */
const MIN_PACE_RATIO = 2;
/** Minimum time that a hedge must save to be worth its extra work. */
const MIN_GAIN_MS = 100;

/**
 * Decides whether a hedge is worth its extra work: the attempt is slower than the learnt quantile, and another server
 * would finish earlier although it repeats the prefill.
 *
 * @param facts - progress of the attempt
 * @param norm - usual pace of the pool
 * @returns true if a hedge should be sent, provided that the hedge budget allows it
 * @example
 * decideHedge({ elapsedMs: 400, paceMs: 40, remainingTokens: 50, repeatTokens: 30 }, norm);
 */
export default function decideHedge(facts: HedgeFacts, norm: HedgeNorm): boolean {
  const threshold = Math.max(MIN_PACE_RATIO, norm.paceQuantile ?? MIN_PACE_RATIO);
  if (facts.paceMs < norm.poolMsPerToken * threshold) {
    return false;
  }
  const continueMs = facts.remainingTokens * facts.paceMs;
  const hedgeMs = (facts.remainingTokens + facts.repeatTokens) * norm.poolMsPerToken;
  return continueMs - hedgeMs >= MIN_GAIN_MS;
}
