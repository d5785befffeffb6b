import { HOME_HIT_PROBABILITIES, PREFIX_HALF_LIFE_MS, SENT_HIT_PROBABILITY } from './constants.js';

/** What this host knows about the presence of a prefix in the cache of a server. */
export interface PrefixHint {
  /** When this host last sent the prefix there; undefined when it never did. */
  readonly sentAtMs?: number;
  /** Index of the server among the home servers of the prefix; negative when it is not one of them. */
  readonly homeIndex: number;
}

/**
 * Estimates the prefill work that the prefix cache of a server saves: the probability of a cache hit times the prefill
 * work of the prefix.
 *
 * @param hint - what is known about the prefix on the server
 * @param prefillTokens - prefill work of the whole prefix, in tokens of work
 * @param nowMs - monotonic time
 * @returns expected saving in tokens of work
 * @example
 * estimateSaving({ sentAtMs: nowMs - 500, homeIndex: 0 }, 120, nowMs);
 */
export default function estimateSaving(hint: PrefixHint, prefillTokens: number, nowMs: number): number {
  const cachedProbability = hint.sentAtMs === undefined ? 0 : 0.5 ** ((nowMs - hint.sentAtMs) / PREFIX_HALF_LIFE_MS);
  const probability = Math.max(cachedProbability * SENT_HIT_PROBABILITY, HOME_HIT_PROBABILITIES[hint.homeIndex] ?? 0);
  return probability * prefillTokens;
}
