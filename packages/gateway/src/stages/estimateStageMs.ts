import type { BatchSpec } from '@bergamotcove/config';

/** Fill of a typical call, as a share of the pieces of a full one. */
const TYPICAL_FILL = 0.5;
/** Typical wait for a server that is busy with the previous call, as a share of the fixed time of a call. */
const TYPICAL_WAIT = 0.6;

/**
 * Estimates the typical time of a stage, including its wait.
 *
 * @param spec - batch settings of the pool of the stage; undefined when the pool is unknown
 * @returns time in milliseconds
 */
export default function estimateStageMs(spec: BatchSpec | undefined): number {
  const { callMs = 0, maxPieces = 0, pieceMs = 0 } = spec ?? {};
  return callMs * (1 + TYPICAL_WAIT) + maxPieces * pieceMs * TYPICAL_FILL;
}
