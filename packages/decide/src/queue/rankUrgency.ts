import { CLASS_HEAD_START_MS, MAX_URGENCY_WAIT_MS } from './constants.js';
import type { UrgencyFacts } from './types.js';

/**
 * Ranks a waiting attempt; the lowest rank goes first. The rank is a monotonic time that does not change while the
 * attempt waits, so waiting attempts age relative to later arrivals without an update.
 *
 * @param facts - priority class and times of the attempt
 * @returns the rank, in ms
 * @example
 * rankUrgency({ latestStartAtMs: 2_000, enqueuedAtMs: 0, priority: 'money' });
 */
export default function rankUrgency(facts: UrgencyFacts): number {
  const dueAtMs = Math.min(facts.latestStartAtMs, facts.enqueuedAtMs + MAX_URGENCY_WAIT_MS);
  return dueAtMs - CLASS_HEAD_START_MS[facts.priority];
}
