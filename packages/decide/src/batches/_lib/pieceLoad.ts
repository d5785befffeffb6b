import type { BatchSpec } from '@bergamotcove/config';
import type { PieceTimes } from './createPieceTimes.js';
import type { QueuedJob } from './queuedJob.js';

/** Number of waiting pieces, and their work time at one server without the fixed time of the calls. */
export interface PieceLoad {
  readonly pieces: number;
  readonly workMs: number;
}

/** Adds two loads. */
export const addLoads = (a: PieceLoad, b: PieceLoad): PieceLoad => ({
  pieces: a.pieces + b.pieces,
  workMs: a.workMs + b.workMs,
});

/** Sums the load of the waiting pieces of jobs. */
export const sumLoad = (entries: readonly QueuedJob[], times: PieceTimes): PieceLoad =>
  entries.reduce<PieceLoad>(
    (sum, { job, pieces }) => {
      const waiting = pieces.filter((state) => state === 'waiting').length;
      return addLoads(sum, { pieces: waiting, workMs: waiting === 0 ? 0 : waiting * times.read(job.kind) });
    },
    { pieces: 0, workMs: 0 },
  );

/** Predicts the time in ms in which a number of idle servers together process a load in full calls; none count as one. */
export const predictSpanMs = ({ pieces, workMs }: PieceLoad, spec: BatchSpec, servers: number): number => {
  const totalMs = Math.ceil(pieces / spec.maxPieces) * spec.callMs + workMs;
  return Math.max(spec.callMs, totalMs / (servers === 0 ? 1 : servers * spec.parallelCalls));
};
