import { LRUCache } from 'lru-cache';
import { CLEARING_RUNS, RUN_RETENTION_MS, MIN_SURVIVAL_MS } from './constants.js';

/** Recent successful runs of requests. */
export interface RunHistory {
  /** Records that a server answered a request successfully. */
  note(fingerprint: string, serverId: string, nowMs: number): void;
  /** Records that a server has ended; the requests that it answered just before do not count as successful runs. */
  noteEnded(serverId: string, endedAtMs: number): void;
  /** Counts the runs of a request that ended after `sinceMs` and whose server survived them. */
  count(fingerprint: string, sinceMs: number, nowMs: number): number;
}

interface Run {
  readonly serverId: string;
  readonly atMs: number;
}

/** Maximum number of requests in the history. */
const MAX_REQUESTS = 4_096;
/** Maximum number of servers whose end is kept. */
const MAX_ENDED = 1_024;
/** Maximum number of runs that are kept for one request. */
const MAX_RUNS = 4 * CLEARING_RUNS;
/** At most one run of a request is kept in this time, so that the runs of a frequent request reach further back. */
const SPACING_MS = 250;

/**
 * Creates an empty history of successful runs.
 *
 * @returns the history
 */
export default function createRunHistory(): RunHistory {
  const runsByRequest = new LRUCache<string, readonly Run[]>({ max: MAX_REQUESTS });
  const endedAtMs = new LRUCache<string, number>({ max: MAX_ENDED });
  const hasSurvived = ({ serverId, atMs }: Run): boolean => {
    const survivedMs = (endedAtMs.get(serverId) ?? Infinity) - atMs;
    return survivedMs < 0 || survivedMs >= MIN_SURVIVAL_MS;
  };
  return {
    note: (fingerprint, serverId, nowMs) => {
      const recent = (runsByRequest.get(fingerprint) ?? []).filter(({ atMs }) => nowMs - atMs < RUN_RETENTION_MS);
      if (nowMs - (recent.at(-1)?.atMs ?? -Infinity) >= SPACING_MS) {
        runsByRequest.set(fingerprint, [...recent, { serverId, atMs: nowMs }].slice(-MAX_RUNS));
      }
    },
    noteEnded: (serverId, atMs) => {
      endedAtMs.set(serverId, atMs);
    },
    count: (fingerprint, sinceMs, nowMs) =>
      (runsByRequest.peek(fingerprint) ?? []).filter(
        (run) => run.atMs > sinceMs && nowMs - run.atMs >= MIN_SURVIVAL_MS && hasSurvived(run),
      ).length,
  };
}
