import type { PriorityClass } from './types.js';

/** Head start of a class in the urgency order, in ms. It is bounded, so that a lower class ages past a higher one. */
export const CLASS_HEAD_START_MS: Readonly<Record<PriorityClass, number>> = {
  money: 600,
  booking: 400,
  interactive: 200,
  draft: 0,
};

/** Weight of a class in the weighted fair queue. */
export const CLASS_WEIGHT: Readonly<Record<PriorityClass, number>> = {
  money: 8,
  booking: 4,
  interactive: 2,
  draft: 1,
};

/** Work with a distant deadline is due after this wait at the latest, so that it does not starve. */
export const MAX_URGENCY_WAIT_MS = 4_000;
