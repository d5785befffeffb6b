/** Progress of an attempt that may be hedged. */
export interface HedgeFacts {
  /** Time since the attempt was sent. */
  readonly elapsedMs: number;
  /** Time per token of the attempt; a lower bound while no token has arrived. */
  readonly paceMs: number;
  /** Estimated tokens that are left. */
  readonly remainingTokens: number;
  /** Work that another server repeats before it goes on where this attempt stands. */
  readonly repeatTokens: number;
}

/** What is normal for the pool. */
export interface HedgeNorm {
  readonly poolMsPerToken: number;
  /** Learnt quantile of the pace relative to the pool. */
  readonly paceQuantile: number | undefined;
}

/** A pace below this multiple of the pool's is ordinary variation between batches. */
const MIN_PACE_RATIO = 2;
/** A hedge that wins less than this is not worth its work. */
const MIN_GAIN_MS = 100;

/**
 * Decides if a second attempt is worth its work: the attempt is slower than the learnt quantile, and another server
 * would finish earlier although it repeats the prefill.
 *
 * @param facts - progress of the attempt
 * @param norm - what is normal
 * @returns whether to send a hedge, if the budget allows it
 * @example
 * decideHedge({ elapsedMs: 400, paceMs: 40, remainingTokens: 50, repeatTokens: 30 }, norm);
 */
export default function decideHedge(facts: HedgeFacts, norm: HedgeNorm): boolean {
  const threshold = Math.max(MIN_PACE_RATIO, norm.paceQuantile ?? MIN_PACE_RATIO);
  if (facts.paceMs < norm.poolMsPerToken * threshold) {
    return false;
  }
  const stayMs = facts.remainingTokens * facts.paceMs;
  const moveMs = (facts.remainingTokens + facts.repeatTokens) * norm.poolMsPerToken;
  return stayMs - moveMs >= MIN_GAIN_MS;
}
