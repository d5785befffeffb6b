import type { StepLoadsMs } from './messages.js';

/** Minimum values at which loads are reported to other regions: between the ranks of routes, and of late requests. */
export const VALUE_STEPS = [0, 0.01, 0.04, 0.15, 0.5] as const;

/** Measures a load for each of the {@link VALUE_STEPS}, in milliseconds. */
export const measureLoadSteps = (loadMs: (minValue: number) => number): StepLoadsMs =>
  VALUE_STEPS.map((step) => Math.round(loadMs(step)));

/** Reads the load of requests of at least the given value, at the highest step that includes them all. */
export const readLoadStep = (loadsMs: StepLoadsMs | undefined, minValue: number): number => {
  const step = VALUE_STEPS.findLastIndex((stepValue) => stepValue <= minValue);
  return loadsMs?.[Math.max(0, step)] ?? 0;
};
