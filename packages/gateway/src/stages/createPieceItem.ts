import type { PieceItem } from '../ports.js';
import type { StageJob } from './messages.js';

/**
 * Describes one piece of a job for a call to a stage server.
 *
 * @param job - job of the piece
 * @param piece - position among the pieces of the job
 * @param remainingMs - time for which its result is of use
 * @returns the item of the call
 */
export default function createPieceItem(
  { requestId, stage, key, inputs }: StageJob,
  piece: number,
  remainingMs: number,
): PieceItem {
  const input: PieceItem['input'] =
    inputs.length === 0 ? { type: 'key', key } : { type: 'results', results: inputs.flatMap(({ results }) => results) };
  return { requestId, stage, piece, remainingMs, input };
}
