import type { BatchSpec } from '@bergamotcove/config';
import type { PieceOutcome } from '../batches/types.js';
import type { VirtualTime } from './createVirtualTime.js';

/** A piece as the server sees it. */
export interface ModelPiece {
  readonly resultId: string;
  readonly pieceMs: number;
  /** Exact size of the result. */
  readonly bytes: number;
}

/** Model of a stage server, which works on one call at a time and has a fixed memory for results. */
export interface StageServerModel {
  /** Runs a call that arrives now. Memory for its results is reserved when its turn comes. */
  call(pieces: readonly ModelPiece[], onAnswer: (outcomes: readonly PieceOutcome[]) => void): void;
  /** Frees results; a result whose call is in progress is freed when the call ends. */
  release(resultIds: readonly string[]): void;
  /** Frees all results and answers no call in progress. */
  restart(): void;
  readonly usedBytes: number;
}

/**
 * Creates the model of a stage server.
 *
 * @param spec - batch settings of its pool
 * @param time - time of the simulation
 * @returns the server
 */
export default function createStageServerModel(spec: BatchSpec, time: VirtualTime): StageServerModel {
  const held = new Map<string, number>();
  let usedBytes = 0;
  let freeAtMs = 0;
  let starts = 0;

  const release = (resultIds: readonly string[]): void =>
    resultIds.forEach((id) => {
      usedBytes -= held.get(id) ?? 0;
      held.delete(id);
    });

  const begin = (pieces: readonly ModelPiece[], onAnswer: (outcomes: readonly PieceOutcome[]) => void): void => {
    const start = starts;
    const outcomes = pieces.map(({ resultId, bytes }): PieceOutcome => {
      if (usedBytes + bytes > spec.resultMemoryBytes) {
        return 'no-room';
      }
      usedBytes += bytes;
      held.set(resultId, bytes);
      return 'done';
    });
    const workMs = pieces.reduce((sum, { pieceMs }, index) => sum + (outcomes[index] === 'done' ? pieceMs : 0), 0);
    const durationMs = spec.callMs + workMs;
    freeAtMs = time.nowMs + durationMs;
    time.schedule(durationMs, () => {
      if (start === starts) {
        onAnswer(outcomes);
        time.schedule(spec.keepResultMs, () => release(pieces.map(({ resultId }) => resultId)));
      }
    });
  };

  const call: StageServerModel['call'] = (pieces, onAnswer) => {
    if (time.nowMs < freeAtMs) {
      time.schedule(freeAtMs - time.nowMs, () => call(pieces, onAnswer));
    } else {
      begin(pieces, onAnswer);
    }
  };

  return {
    call,
    release,
    restart: () => {
      starts += 1;
      held.clear();
      usedBytes = 0;
      freeAtMs = 0;
    },
    get usedBytes() {
      return usedBytes;
    },
  };
}
