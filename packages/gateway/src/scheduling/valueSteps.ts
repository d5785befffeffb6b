import type { StepLoadsMs } from './messages.js';

/** Least values at which loads are told to other regions: those between the ranks of routes, and of late requests. */
export const VALUE_STEPS = [0, 0.01, 0.04, 0.15, 0.5] as const;

/** Measures a load at each step. */
export const measureLoadSteps = (loadMs: (minValue: number) => number): StepLoadsMs =>
  VALUE_STEPS.map((step) => Math.round(loadMs(step)));

/** Load of requests of at least the given value: that of the last step which leaves none of them out. */
export const readLoadStep = (loadsMs: StepLoadsMs | undefined, minValue: number): number => {
  const step = VALUE_STEPS.findLastIndex((stepValue) => stepValue <= minValue);
  return loadsMs?.[Math.max(0, step)] ?? 0;
};
