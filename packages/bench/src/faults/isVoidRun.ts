import { DEADLINE_MARGIN_MS } from './constants.js';
import type { CellResult } from './types.js';

/** Violations that lack of processor time alone can cause. Every other violation counts whatever the machine did. */
const LATENESS: readonly RegExp[] = [
  /no answer after \d+ ms$/,
  /^the request ended as (not-run|unknown|broken)/,
  /^after the faults the request ended as .*"outcome":"not-run"/,
  /^the request did not reach the step/,
];

/**
 * Tells whether a red run says nothing about the system: all its violations are lateness, and the machine withheld the
 * processor for longer than the margin that the bound has for a busy machine.
 *
 * @param result - result of the run
 * @param runDelayMs - time in which the worker was ready to run and had no processor
 * @returns whether the cell must run again
 */
export default function isVoidRun(result: CellResult, runDelayMs: number): boolean {
  return (
    result.violations.length > 0 &&
    runDelayMs > DEADLINE_MARGIN_MS &&
    result.violations.every((violation) => LATENESS.some((pattern) => pattern.test(violation)))
  );
}
