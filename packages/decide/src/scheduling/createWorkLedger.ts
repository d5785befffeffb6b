import type { PipelineNeed, StagePoolState } from './types.js';

/** Work that admitted requests still need of the stage pools of a region. */
export interface WorkLedger {
  /** Adds an admitted request with the regions of its stages, by default the own one. */
  add(need: PipelineNeed, regions?: readonly string[]): void;
  /** A stage of the request has ended. */
  endStage(requestId: string, stage: number): void;
  remove(requestId: string): void;
  clear(): void;
  /** Drops requests whose deadline has passed. */
  expire(nowMs: number): void;
  /**
   * Time that the servers of the pool need for the work of requests of at least the given value. For another region it
   * is the work that was sent there.
   */
  loadMs(pool: string, minValue: number, region?: string): number;
  readonly size: number;
}

interface Entry {
  readonly need: PipelineNeed;
  /** Region by stage; the own one where it is undefined. */
  readonly regions: readonly string[];
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
 * @param homeRegion - own region
 * @param findPool - how the servers of a pool do in a region
 * @returns the ledger
 */
export default function createWorkLedger(
  homeRegion: string,
  findPool: (pool: string, region: string) => StagePoolState | undefined,
): WorkLedger {
  const entries = new Map<string, Entry>();

  const countWork = ({ need, regions, ended }: Entry, pool: string, region: string, state: StagePoolState): number =>
    need.stages.reduce((sum, stage, index) => {
      const isOpen = stage.pool === pool && (regions[index] ?? homeRegion) === region && !ended.has(index);
      return isOpen ? sum + spreadWorkMs(state, stage.pieces, stage.kind) : sum;
    }, 0);

  return {
    get size() {
      return entries.size;
    },
    add: (need, regions = []) => {
      entries.set(need.requestId, { need, regions, ended: new Set() });
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
    loadMs: (pool, minValue, region = homeRegion) => {
      const state = findPool(pool, region);
      if (state === undefined) {
        return 0;
      }
      let sum = 0;
      entries.forEach((entry) => {
        if (entry.need.value >= minValue) {
          sum += countWork(entry, pool, region, state);
        }
      });
      return sum;
    },
  };
}
