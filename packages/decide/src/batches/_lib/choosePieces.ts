import type { BatchJob } from '../types.js';
import type { WaitingPiece } from './queuedJob.js';

/** Limits of one call. */
export interface CallLimits {
  readonly maxPieces: number;
  /** Bytes available for results at the server. */
  readonly roomBytes: number;
  /** Reserves a call of a server nearer to the inputs of the job; false when this call should take its pieces. */
  readonly reserveNearby: (job: BatchJob, pieceCount: number) => boolean;
  /** Whether the call may hold only some pieces of the job when the room does not suffice for all. */
  readonly mayBePartial: (job: BatchJob) => boolean;
  /** Whether the pieces of the job share no call with those of other jobs. */
  readonly isIsolated: (job: BatchJob) => boolean;
}

const groupByJob = (waiting: readonly WaitingPiece[]): readonly (readonly WaitingPiece[])[] => {
  const groups = new Map<BatchJob, WaitingPiece[]>();
  waiting.forEach((piece) => {
    const group = groups.get(piece.job);
    if (group === undefined) {
      groups.set(piece.job, [piece]);
    } else {
      group.push(piece);
    }
  });
  return [...groups.values()];
};

/**
 * Chooses the pieces of one call: the first ones that fit. A job without enough room for all of its waiting pieces is
 * skipped unless it may be split, because the results of one part would occupy the room that the other pieces need.
 *
 * @param waiting - pieces in the order in which they should be sent
 * @param limits - limits of the call
 * @returns the pieces
 */
export default function choosePieces(
  waiting: readonly WaitingPiece[],
  { maxPieces, roomBytes, reserveNearby, mayBePartial, isIsolated }: CallLimits,
): readonly WaitingPiece[] {
  const chosen: WaitingPiece[] = [];
  let leftBytes = roomBytes;
  let isClosed = false;
  groupByJob(waiting).forEach((pieces) => {
    const [{ job }] = pieces as [WaitingPiece];
    const isFull = isClosed || chosen.length >= maxPieces || (isIsolated(job) && chosen.length > 0);
    if (isFull || reserveNearby(job, pieces.length)) {
      return;
    }
    const fitting = job.resultBytes === 0 ? pieces.length : Math.floor(leftBytes / job.resultBytes);
    if (fitting < pieces.length && !mayBePartial(job)) {
      return;
    }
    const taken = pieces.slice(0, Math.max(0, Math.min(fitting, maxPieces - chosen.length)));
    leftBytes -= taken.length * job.resultBytes;
    chosen.push(...taken);
    isClosed = isIsolated(job) && taken.length > 0;
  });
  return chosen;
}
