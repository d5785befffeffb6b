import { DEADLINE_MARGIN_MS } from './constants.js';
import type { CellResult } from './types.js';

/** Violations that lack of processor time alone can cause. All others count, however busy the machine was. */
const LATENESS_PATTERNS: readonly RegExp[] = [
  /no answer after \d+ ms$/,
  /^the request ended as (not-run|unknown|broken)/,
  /^after the faults the request ended as .*"outcome":"not-run"/,
  /^the request did not reach the step/,
];

/**
 * Tells whether a red run is void, which means that it says nothing about the system: all its violations are lateness,
 * and the worker had no processor for longer than the margin of the deadline, which allows for a busy machine.
 *
 * @param result - result of the run
 * @param runDelayMs - time in which the worker was ready to run and had no processor
 * @returns whether the cell must run again
 */
export default function isVoidRun(result: CellResult, runDelayMs: number): boolean {
  return (
    result.violations.length > 0 &&
    runDelayMs > DEADLINE_MARGIN_MS &&
    result.violations.every((violation) => LATENESS_PATTERNS.some((pattern) => pattern.test(violation)))
  );
}
