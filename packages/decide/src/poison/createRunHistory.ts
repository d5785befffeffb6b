import { LRUCache } from 'lru-cache';
import { CLEARING_RUNS, RUN_MEMORY_MS, SURVIVAL_MS } from './constants.js';

/** Requests that servers have run well of late. */
export interface RunHistory {
  /** A server has answered a request with success. */
  note(fingerprint: string, serverId: string, nowMs: number): void;
  /** A server has ended; what it answered just before speaks for no request. */
  noteEnded(serverId: string, endedAtMs: number): void;
  /** Counts the runs of a request that ended after a time, and whose server has lived on. */
  count(fingerprint: string, sinceMs: number, nowMs: number): number;
}

interface Run {
  readonly serverId: string;
  readonly atMs: number;
}

/** Requests that are remembered. */
const MAX_REQUESTS = 4_096;
/** Servers whose end is remembered. */
const MAX_ENDED = 1_024;
/** Runs of one request that are remembered. */
const MAX_RUNS = 4 * CLEARING_RUNS;
/** Of the runs of a request that is often sent, one in this time is remembered, so that older ones are kept. */
const SPACING_MS = 250;

/**
 * Creates an empty history.
 *
 * @returns the history
 */
export default function createRunHistory(): RunHistory {
  const runsByRequest = new LRUCache<string, readonly Run[]>({ max: MAX_REQUESTS });
  const endedAtMs = new LRUCache<string, number>({ max: MAX_ENDED });
  const livedOn = ({ serverId, atMs }: Run): boolean => {
    const survivedMs = (endedAtMs.get(serverId) ?? Infinity) - atMs;
    return survivedMs < 0 || survivedMs >= SURVIVAL_MS;
  };
  return {
    note: (fingerprint, serverId, nowMs) => {
      const recent = (runsByRequest.get(fingerprint) ?? []).filter(({ atMs }) => nowMs - atMs < RUN_MEMORY_MS);
      if (nowMs - (recent.at(-1)?.atMs ?? -Infinity) >= SPACING_MS) {
        runsByRequest.set(fingerprint, [...recent, { serverId, atMs: nowMs }].slice(-MAX_RUNS));
      }
    },
    noteEnded: (serverId, atMs) => {
      endedAtMs.set(serverId, atMs);
    },
    count: (fingerprint, sinceMs, nowMs) =>
      (runsByRequest.peek(fingerprint) ?? []).filter(
        (run) => run.atMs > sinceMs && nowMs - run.atMs >= SURVIVAL_MS && livedOn(run),
      ).length,
  };
}
