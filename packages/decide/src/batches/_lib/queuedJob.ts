import type { BatchJob } from '../types.js';

/** State of one piece. */
type PieceState = 'waiting' | 'running' | 'done';

/** A job with the states of its pieces. */
export interface QueuedJob {
  readonly job: BatchJob;
  readonly submittedAtMs: number;
  readonly pieces: PieceState[];
  /** Number of calls that each piece was part of. */
  readonly sends: number[];
  /** Whether its pieces share no call with other jobs and are sent in one call at a time. */
  isolated: boolean;
}

/** A piece that waits for a call. */
export interface WaitingPiece {
  readonly job: BatchJob;
  readonly piece: number;
}

/** Creates a job without any sent piece. */
export const createQueuedJob = (job: BatchJob, submittedAtMs: number): QueuedJob => ({
  job,
  submittedAtMs,
  pieces: new Array<PieceState>(job.pieceCount).fill('waiting'),
  sends: new Array<number>(job.pieceCount).fill(0),
  isolated: false,
});

/** Whether a piece of the job waits for a call. */
export const isOpen = ({ pieces }: QueuedJob): boolean => pieces.includes('waiting');

/** Whether pieces of a job may be sent now. */
export const mayBeSent = ({ isolated, pieces }: QueuedJob): boolean => !isolated || !pieces.includes('running');

/** Lists the pieces that wait for a call, in the order of their jobs. */
export const listPieces = (entries: readonly QueuedJob[]): WaitingPiece[] => {
  const waiting: WaitingPiece[] = [];
  entries.forEach(({ job, pieces }) =>
    pieces.forEach((state, piece) => {
      if (state === 'waiting') {
        waiting.push({ job, piece });
      }
    }),
  );
  return waiting;
};

/** Makes a running piece wait for another call. */
export const requeuePiece = (pieces: QueuedJob['pieces'] | undefined, piece: number): void => {
  if (pieces?.[piece] === 'running') {
    pieces.splice(piece, 1, 'waiting');
  }
};

/** Makes a piece wait for another call, because the call that it was part of was not sent. */
export const takeBackPiece = (entry: QueuedJob | undefined, piece: number): void => {
  entry?.sends.splice(piece, 1, Math.max(0, (entry.sends[piece] ?? 0) - 1));
  requeuePiece(entry?.pieces, piece);
};
