import type { PipelineNeed, StagePoolState } from './types.js';

/** What the prediction rests on. */
export interface PipelineOutlook {
  readonly nowMs: number;
  readonly findPool: (pool: string) => StagePoolState | undefined;
  /** Time that the pool needs for what goes before. */
  readonly loadMs: (pool: string) => number;
  /** Time from the last stage to the begin of the answer. */
  readonly answerMs: number;
  /** Time that each hop to the pools takes more than usual. */
  readonly hopMs: number;
}

/** Calls are seldom full outside a crest; a piece waits for about this part of a call in progress. */
const WAIT_SHARE = 0.35;

/**
 * Predicts when the answer of a request begins: each stage starts when the stages before it have ended and its pool has
 * done what goes before.
 *
 * @param need - stages of the request
 * @param outlook - load of the pools
 * @returns monotonic time
 */
export default function predictPipeline(need: PipelineNeed, outlook: PipelineOutlook): number {
  const ends: number[] = [];
  need.stages.forEach(({ pool, after, pieces, kind }, index) => {
    const readyMs = Math.max(outlook.nowMs, ...after.map((before) => ends[before] ?? outlook.nowMs));
    const state = outlook.findPool(pool);
    if (pieces === 0 || state === undefined) {
      ends[index] = readyMs;
      return;
    }
    const { callMs, maxPieces, pieceMs } = state.spec;
    const ownMs = callMs + Math.min(maxPieces, pieces) * (state.pieceMs.get(kind) ?? pieceMs);
    const loadMs = Math.max(outlook.loadMs(pool), callMs * WAIT_SHARE);
    ends[index] = Math.max(readyMs + callMs * WAIT_SHARE, outlook.nowMs + loadMs) + ownMs + outlook.hopMs;
  });
  return Math.max(outlook.nowMs, ...ends) + outlook.answerMs + outlook.hopMs;
}
