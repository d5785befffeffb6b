import type { BatchSpec } from '@bergamotcove/config';
import type { PieceTimes } from './createPieceTimes.js';
import type { QueuedJob } from './queuedJob.js';

/** Pieces that wait, and the time of their work at one server besides that of the calls. */
export interface PieceLoad {
  readonly pieces: number;
  readonly workMs: number;
}

/** Adds two loads. */
export const addLoads = (a: PieceLoad, b: PieceLoad): PieceLoad => ({
  pieces: a.pieces + b.pieces,
  workMs: a.workMs + b.workMs,
});

/** Load of the waiting pieces of jobs. */
export const sumLoad = (entries: readonly QueuedJob[], times: PieceTimes): PieceLoad =>
  entries.reduce<PieceLoad>(
    (sum, { job, pieces }) => {
      const waiting = pieces.filter((state) => state === 'waiting').length;
      return addLoads(sum, { pieces: waiting, workMs: waiting === 0 ? 0 : waiting * times.read(job.kind) });
    },
    { pieces: 0, workMs: 0 },
  );

/** Time in which a number of servers together do a load in full calls, if nothing goes before it. */
export const readSpanMs = ({ pieces, workMs }: PieceLoad, spec: BatchSpec, servers: number): number => {
  const totalMs = Math.ceil(pieces / spec.maxPieces) * spec.callMs + workMs;
  return Math.max(spec.callMs, totalMs / Math.max(1, servers * spec.parallelCalls));
};
