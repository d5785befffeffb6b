import type { BatchSpec } from '@bergamotcove/config';

/** Part of a full call's work that a usual call has. */
const TYPICAL_FILL = 0.5;
/** Wait for a server that is busy with the call before, as a part of the fixed time of a call. */
const TYPICAL_WAIT = 0.6;

/**
 * Estimates the usual time of a stage with its wait.
 *
 * @param spec - how the pool of the stage works; undefined when it is unknown
 * @returns time in milliseconds
 */
export default function estimateStageMs(spec: BatchSpec | undefined): number {
  const { callMs = 0, maxPieces = 0, pieceMs = 0 } = spec ?? {};
  return callMs * (1 + TYPICAL_WAIT) + maxPieces * pieceMs * TYPICAL_FILL;
}
