import { MAX_TRACKED_RATE, STATEMENT_LIFETIME_MS } from './constants.js';
import type { LimitStatement, StatedLimit } from './types.js';

/** Whether no answer has repeated a limit for so long that it has ended. */
export const isExpired = ({ statedAtMs }: StatedLimit, nowMs: number): boolean =>
  nowMs - statedAtMs >= STATEMENT_LIFETIME_MS;

/**
 * Applies a statement about the limit of a server. A limit ends only with the answer to a request that was sent after
 * the latest statement, because a slow answer may have been begun before the limit was.
 *
 * @param known - limit that is known; undefined without one
 * @param statement - the new statement
 * @param nowMs - monotonic time
 * @returns the limit in force; the same object when the statement changes nothing
 * @example
 * applyStatement(undefined, { requestsPerSecond: 2, startedAtMs: 1, atMs: 100 }, 100);
 */
export default function applyStatement(
  known: StatedLimit | undefined,
  { requestsPerSecond, startedAtMs, atMs }: LimitStatement,
  nowMs: number,
): StatedLimit | undefined {
  if (known !== undefined && startedAtMs < known.startedAtMs) {
    return known;
  }
  const current = known?.startedAtMs === startedAtMs && !isExpired(known, nowMs) ? known : undefined;
  if (current !== undefined && atMs <= current.statedAtMs) {
    return current;
  }
  if (requestsPerSecond === undefined || requestsPerSecond >= MAX_TRACKED_RATE) {
    return undefined;
  }
  return { requestsPerSecond, startedAtMs, sinceMs: current?.sinceMs ?? atMs, statedAtMs: atMs };
}
