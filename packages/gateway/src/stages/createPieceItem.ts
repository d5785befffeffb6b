import type { PieceItem } from '../ports.js';
import type { StageJob } from './messages.js';

/**
 * Creates the item of a stage server call for one piece of a job.
 *
 * @param job - job of the piece
 * @param piece - index among the pieces of the job
 * @param remainingMs - time until the job expires
 * @returns the item
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
