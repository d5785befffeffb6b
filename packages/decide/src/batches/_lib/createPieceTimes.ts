import type { BatchSpec } from '@bergamotcove/config';

/** Learnt processing times of pieces, by kind. */
export interface PieceTimes {
  /** Returns the usual time in ms of a piece of the kind. */
  read(kind: string): number;
  /** Learns from a call with these pieces at a server of usual speed; `workMs` excludes the fixed time of a call. */
  learn(kinds: readonly string[], workMs: number): void;
  /** Returns the learnt times by kind. */
  list(): Readonly<Record<string, number>>;
}

/** Share of a call's prediction error that one update corrects. */
const LEARNING_RATE = 0.3;
const MIN_RATIO = 0.05;
const MAX_RATIO = 4;

/**
 * Creates the estimator of piece times. A call holds pieces of several kinds, so its error is distributed over the
 * kinds in proportion to their number of pieces (normalised least mean squares).
 *
 * @param spec - batch settings of the pool; `pieceMs` is the initial estimate
 * @returns the estimator
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
        const corrected = read(kind) + (LEARNING_RATE * error * count) / norm;
        learnt.set(kind, Math.min(MAX_RATIO * spec.pieceMs, Math.max(MIN_RATIO * spec.pieceMs, corrected)));
      });
    },
  };
}
