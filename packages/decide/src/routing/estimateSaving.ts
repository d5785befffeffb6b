import { HOME_HIT_PROBABILITIES, PREFIX_HALF_LIFE_MS, SENT_HIT_PROBABILITY } from './constants.js';

/** What this host knows about a prefix on a server. */
export interface PrefixHint {
  /** When this host last sent the prefix there; undefined when it never did. */
  readonly sentAtMs?: number;
  /** Place of the server among the homes of the prefix; negative when it is none. */
  readonly homeIndex: number;
}

/**
 * Estimates the prefill work that the prefix cache of a server saves, as probability of a hit times its size.
 *
 * @param hint - what is known
 * @param prefillTokens - work of the whole prefix
 * @param nowMs - monotonic time
 * @returns expected saving in tokens of work
 * @example
 * estimateSaving({ sentAtMs: nowMs - 500, homeIndex: 0 }, 120, nowMs);
 */
export default function estimateSaving(hint: PrefixHint, prefillTokens: number, nowMs: number): number {
  const kept = hint.sentAtMs === undefined ? 0 : 0.5 ** ((nowMs - hint.sentAtMs) / PREFIX_HALF_LIFE_MS);
  const probability = Math.max(kept * SENT_HIT_PROBABILITY, HOME_HIT_PROBABILITIES[hint.homeIndex] ?? 0);
  return probability * prefillTokens;
}
