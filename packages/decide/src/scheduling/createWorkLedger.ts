import createValueSums, { type ValueSums } from './_lib/createValueSums.js';
import type { PipelineNeed, StagePoolState } from './types.js';

/** Outstanding work of admitted requests at the stage pools of a region. */
export interface WorkLedger {
  /** Adds an admitted request, or replaces it. Stages without an entry in `regions` run in the home region. */
  add(need: PipelineNeed, regions?: readonly string[]): void;
  /** Removes the work of a stage that has ended. */
  endStage(requestId: string, stage: number): void;
  remove(requestId: string): void;
  clear(): void;
  /** Removes requests whose deadline has passed. */
  expire(nowMs: number): void;
  /**
   * Returns the time in ms that the servers of the pool need for the outstanding work of requests of at least the given
   * value. For another region it covers only the work that this region sent there.
   */
  loadMs(pool: string, minValue: number, region?: string): number;
  readonly size: number;
}

interface Entry {
  readonly need: PipelineNeed;
  /** Region by stage; undefined stands for the home region. */
  readonly regions: readonly string[];
  readonly ended: Set<number>;
}

/** Outstanding pieces of a pool, by kind. */
type PoolPieces = Map<string, ValueSums>;

/** Lower bound of a pool's speed, so that the load of a pool without servers is large but finite. */
const MIN_SPEED = 0.1;

/** Requests are grouped by deadline in slots of this length, so that an expiry scans few requests. */
const EXPIRY_SLOT_MS = 250;

class Ledger implements WorkLedger {
  private readonly entries = new Map<string, Entry>();

  /** By region and pool. */
  private readonly piecesByPool = new Map<string, PoolPieces>();

  /** Requests by the slot of their deadline. */
  private readonly requestIdsBySlot = new Map<number, Set<string>>();

  constructor(
    private readonly homeRegion: string,
    private readonly findPool: (pool: string, region: string) => StagePoolState | undefined,
  ) {}

  get size(): number {
    return this.entries.size;
  }

  add(need: PipelineNeed, regions: readonly string[] = []): void {
    this.remove(need.requestId);
    const entry = { need, regions, ended: new Set<number>() };
    this.entries.set(need.requestId, entry);
    need.stages.forEach((_, stage) => this.adjustPieces(entry, stage, 1));
    const slot = Ledger.slotOf(need.deadlineAtMs);
    const requestIds = this.requestIdsBySlot.get(slot) ?? new Set();
    this.requestIdsBySlot.set(slot, requestIds.add(need.requestId));
  }

  endStage(requestId: string, stage: number): void {
    const entry = this.entries.get(requestId);
    if (entry !== undefined && !entry.ended.has(stage)) {
      entry.ended.add(stage);
      this.adjustPieces(entry, stage, -1);
    }
  }

  remove(requestId: string): void {
    const entry = this.entries.get(requestId);
    if (entry !== undefined) {
      entry.need.stages.forEach((_, stage) => this.endStage(requestId, stage));
      this.entries.delete(requestId);
      this.requestIdsBySlot.get(Ledger.slotOf(entry.need.deadlineAtMs))?.delete(requestId);
    }
  }

  clear(): void {
    this.entries.clear();
    this.piecesByPool.clear();
    this.requestIdsBySlot.clear();
  }

  expire(nowMs: number): void {
    const lastSlot = Ledger.slotOf(nowMs);
    [...this.requestIdsBySlot].forEach(([slot, requestIds]) => {
      if (slot > lastSlot) {
        return;
      }
      [...requestIds]
        .filter((requestId) => (this.entries.get(requestId)?.need.deadlineAtMs ?? 0) <= nowMs)
        .forEach((requestId) => this.remove(requestId));
      if (requestIds.size === 0) {
        this.requestIdsBySlot.delete(slot);
      }
    });
  }

  loadMs(pool: string, minValue: number, region: string = this.homeRegion): number {
    const state = this.findPool(pool, region);
    const sumsByKind = this.piecesByPool.get(Ledger.keyOf(region, pool));
    if (state === undefined || sumsByKind === undefined) {
      return 0;
    }
    const { callMs, maxPieces, pieceMs } = state.spec;
    let workMs = 0;
    sumsByKind.forEach((sums, kind) => {
      workMs += sums.atLeast(minValue) * (callMs / maxPieces + (state.pieceMs.get(kind) ?? pieceMs));
    });
    return workMs / Math.max(MIN_SPEED, state.speed);
  }

  /** Adds the pieces of a stage to the sums of its pool, or subtracts them. */
  private adjustPieces({ need, regions }: Entry, stage: number, sign: 1 | -1): void {
    const { pool, pieces, kind } = need.stages[stage] as PipelineNeed['stages'][number];
    if (pieces === 0) {
      return;
    }
    const key = Ledger.keyOf(regions[stage] ?? this.homeRegion, pool);
    const sumsByKind = this.piecesByPool.get(key) ?? new Map<string, ValueSums>();
    const sums = sumsByKind.get(kind) ?? createValueSums();
    sums.add(need.value, sign * pieces);
    if (sums.isEmpty) {
      sumsByKind.delete(kind);
    } else {
      sumsByKind.set(kind, sums);
    }
    this.piecesByPool.set(key, sumsByKind);
  }

  private static keyOf(region: string, pool: string): string {
    return `${region} ${pool}`;
  }

  private static slotOf(atMs: number): number {
    return Math.floor(atMs / EXPIRY_SLOT_MS);
  }
}

/**
 * Creates the ledger of a region. Work counts from the admission of a request to the end of its stage, also while
 * earlier stages still run, so that a load peak is visible at later pools before it reaches them. The cost of reading a
 * load grows with the number of piece kinds and value buckets, not with the number of open requests.
 *
 * @param homeRegion - region of this ledger
 * @param findPool - returns the current state of a pool in a region
 * @returns the ledger
 */
export default function createWorkLedger(
  homeRegion: string,
  findPool: (pool: string, region: string) => StagePoolState | undefined,
): WorkLedger {
  return new Ledger(homeRegion, findPool);
}
