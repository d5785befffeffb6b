import { HOME_HIT_PROBABILITY, PREFIX_HALF_LIFE_MS } from './constants.js';

/** What this host knows about a prefix on a server. */
export interface PrefixHint {
  /** When this host last sent the prefix there; undefined when it never did. */
  readonly sentAtMs?: number;
  /** Whether rendezvous hashing names the server as home of the prefix. */
  readonly home: boolean;
}

/**
 * Estimates the prefill work that the prefix cache of a server saves, as probability of a hit times its size.
 *
 * @param hint - what is known
 * @param prefillTokens - work of the whole prefix
 * @param nowMs - monotonic time
 * @returns expected saving in tokens of work
 * @example
 * estimateSaving({ sentAtMs: nowMs - 500, home: true }, 120, nowMs);
 */
export default function estimateSaving(hint: PrefixHint, prefillTokens: number, nowMs: number): number {
  const sent = hint.sentAtMs === undefined ? 0 : 0.5 ** ((nowMs - hint.sentAtMs) / PREFIX_HALF_LIFE_MS);
  const probability = Math.max(sent, hint.home ? HOME_HIT_PROBABILITY : 0);
  return probability * prefillTokens;
}
