import type { PipelineNeed, StagePoolState } from './types.js';

/** Work that admitted requests still need of the stage pools of a region. */
export interface WorkLedger {
  /** Adds an admitted request. */
  add(need: PipelineNeed): void;
  /** A stage of the request has ended. */
  endStage(requestId: string, stage: number): void;
  remove(requestId: string): void;
  clear(): void;
  /** Drops requests whose deadline has passed. */
  expire(nowMs: number): void;
  /** Time that the servers of the pool need for the work of requests of at least the given value. */
  loadMs(pool: string, minValue: number): number;
  readonly size: number;
}

interface Entry {
  readonly need: PipelineNeed;
  readonly ended: Set<number>;
}

/** Speed of a pool without servers, so that its load is large and finite. */
const MIN_SPEED = 0.1;

/** Time of some pieces in full calls, shared by the servers of the pool. */
export const spreadWorkMs = (state: StagePoolState, pieces: number, kind: string): number => {
  const { callMs, maxPieces, pieceMs } = state.spec;
  const each = callMs / maxPieces + (state.pieceMs.get(kind) ?? pieceMs);
  return (pieces * each) / Math.max(MIN_SPEED, state.speed);
};

/**
 * Creates the ledger of a region. Work counts from the admission of a request to the end of its stage, also while the
 * stages before are still running, so that a crest is seen at the pools behind before it reaches them.
 *
 * @param findPool - how the servers of a pool do
 * @returns the ledger
 */
export default function createWorkLedger(findPool: (pool: string) => StagePoolState | undefined): WorkLedger {
  const entries = new Map<string, Entry>();

  const loadOf = ({ need, ended }: Entry, pool: string, state: StagePoolState): number =>
    need.stages.reduce(
      (sum, stage, index) =>
        stage.pool === pool && !ended.has(index) ? sum + spreadWorkMs(state, stage.pieces, stage.kind) : sum,
      0,
    );

  return {
    get size() {
      return entries.size;
    },
    add: (need) => {
      entries.set(need.requestId, { need, ended: new Set() });
    },
    endStage: (requestId, stage) => {
      entries.get(requestId)?.ended.add(stage);
    },
    remove: (requestId) => {
      entries.delete(requestId);
    },
    clear: () => entries.clear(),
    expire: (nowMs) => {
      entries.forEach(({ need }, requestId) => {
        if (need.deadlineAtMs <= nowMs) {
          entries.delete(requestId);
        }
      });
    },
    loadMs: (pool, minValue) => {
      const state = findPool(pool);
      if (state === undefined) {
        return 0;
      }
      let sum = 0;
      entries.forEach((entry) => {
        if (entry.need.value >= minValue) {
          sum += loadOf(entry, pool, state);
        }
      });
      return sum;
    },
  };
}
