import { CLASS_HEAD_START_MS, MAX_PATIENCE_MS } from './constants.js';
import type { UrgencyFacts } from './types.js';

/**
 * Ranks a waiting attempt; the lowest rank goes first. The rank is a point in time and does not change while the
 * attempt waits, so attempts that wait age by themselves against later arrivals.
 *
 * @param facts - the attempt
 * @returns the rank
 * @example
 * rankUrgency({ latestStartAtMs: 2_000, enqueuedAtMs: 0, priority: 'money' });
 */
export default function rankUrgency(facts: UrgencyFacts): number {
  const dueAtMs = Math.min(facts.latestStartAtMs, facts.enqueuedAtMs + MAX_PATIENCE_MS);
  return dueAtMs - CLASS_HEAD_START_MS[facts.priority];
}
