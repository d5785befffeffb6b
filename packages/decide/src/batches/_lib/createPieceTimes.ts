import type { BatchSpec } from '@bergamotcove/config';

/** Learnt time of one piece, by kind. */
export interface PieceTimes {
  /** Usual time of a piece of the kind. */
  read(kind: string): number;
  /** A call with these pieces took so long at a server of usual speed, without the fixed part of a call. */
  learn(kinds: readonly string[], workMs: number): void;
  /** Times of the kinds that were seen. */
  list(): Readonly<Record<string, number>>;
}

/** Part of the error of a call that is corrected at once. */
const STEP = 0.3;
const MIN_RATIO = 0.05;
const MAX_RATIO = 4;

/**
 * Creates the book of piece times. Calls hold pieces of several kinds, so the error of a call is spread over its kinds
 * by their number (normalised least mean squares).
 *
 * @param spec - how the pool works; gives the first guess
 * @returns the book
 */
export default function createPieceTimes(spec: BatchSpec): PieceTimes {
  const learnt = new Map<string, number>();
  const read = (kind: string): number => learnt.get(kind) ?? spec.pieceMs;
  return {
    read,
    list: () => Object.fromEntries(learnt),
    learn: (kinds, workMs) => {
      const counts = new Map<string, number>();
      kinds.forEach((kind) => counts.set(kind, (counts.get(kind) ?? 0) + 1));
      const norm = [...counts.values()].reduce((sum, count) => sum + count * count, 0);
      const error = workMs - kinds.reduce((sum, kind) => sum + read(kind), 0);
      counts.forEach((count, kind) => {
        const corrected = read(kind) + (STEP * error * count) / norm;
        learnt.set(kind, Math.min(MAX_RATIO * spec.pieceMs, Math.max(MIN_RATIO * spec.pieceMs, corrected)));
      });
    },
  };
}
