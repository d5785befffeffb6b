import { BURST_MS, MIN_RATE } from '../limits/constants.js';
import { LAST_RATE, OWNERS, PERMISSION_MS } from './constants.js';
import type { ColdBound, PaceRates } from './types.js';

const MS_PER_SECOND = 1_000;
/** Sends that are handed out in the worst case: one, and those of this time. */
const WINDOW_S = (BURST_MS + MS_PER_SECOND + PERMISSION_MS) / MS_PER_SECOND;

const toPositive = (value: number): number => (Number.isFinite(value) ? Math.max(0, value) : 0);

/**
 * Computes the rates of a server that started. While it is cold, two hosts that hand out its sends at the same time stay
 * within the bound together, also when each send goes out as late as its permission allows.
 *
 * @param requestsPerSecond - rate that a cold server tolerates
 * @param bound - requests that it may get in one second; without one, those of the rate
 * @returns the rates
 * @example
 * computePaceRates(12, { overage: 1.5, slack: 5 }).cold; // 7: twice 1 + 7 x 1.5 is 23
 */
export default function computePaceRates(
  requestsPerSecond: number,
  { overage, slack }: ColdBound = { overage: 1, slack: 0 },
): PaceRates {
  const tolerated = toPositive(requestsPerSecond);
  const allowed = (tolerated * toPositive(overage) + toPositive(slack)) / OWNERS;
  const safe = Math.min(tolerated, (allowed - 1) / WINDOW_S);
  const cold = safe < MIN_RATE ? 0 : safe;
  return { cold, first: cold > 0 ? cold : tolerated, last: tolerated * LAST_RATE };
}
