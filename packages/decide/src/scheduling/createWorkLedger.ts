import createValueSums, { type ValueSums } from './_lib/createValueSums.js';
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

/** Pieces that wait for a pool, by their kind. */
type PoolPieces = Map<string, ValueSums>;

/** Speed of a pool without servers, so that its load is large and finite. */
const MIN_SPEED = 0.1;

/** Expiries are looked for in slots of this length. */
const SLOT_MS = 250;

class Ledger implements WorkLedger {
  private readonly entries = new Map<string, Entry>();

  /** By region and pool. */
  private readonly pieces = new Map<string, PoolPieces>();

  /** Requests by the slot of their deadline. */
  private readonly slots = new Map<number, Set<string>>();

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
    need.stages.forEach((_, stage) => this.count(entry, stage, 1));
    const slot = Ledger.slotOf(need.deadlineAtMs);
    const requestIds = this.slots.get(slot) ?? new Set();
    this.slots.set(slot, requestIds.add(need.requestId));
  }

  endStage(requestId: string, stage: number): void {
    const entry = this.entries.get(requestId);
    if (entry !== undefined && !entry.ended.has(stage)) {
      entry.ended.add(stage);
      this.count(entry, stage, -1);
    }
  }

  remove(requestId: string): void {
    const entry = this.entries.get(requestId);
    if (entry !== undefined) {
      entry.need.stages.forEach((_, stage) => this.endStage(requestId, stage));
      this.entries.delete(requestId);
      this.slots.get(Ledger.slotOf(entry.need.deadlineAtMs))?.delete(requestId);
    }
  }

  clear(): void {
    this.entries.clear();
    this.pieces.clear();
    this.slots.clear();
  }

  expire(nowMs: number): void {
    const last = Ledger.slotOf(nowMs);
    [...this.slots].forEach(([slot, requestIds]) => {
      if (slot > last) {
        return;
      }
      [...requestIds]
        .filter((requestId) => (this.entries.get(requestId)?.need.deadlineAtMs ?? 0) <= nowMs)
        .forEach((requestId) => this.remove(requestId));
      if (requestIds.size === 0) {
        this.slots.delete(slot);
      }
    });
  }

  loadMs(pool: string, minValue: number, region: string = this.homeRegion): number {
    const state = this.findPool(pool, region);
    const kinds = this.pieces.get(Ledger.keyOf(region, pool));
    if (state === undefined || kinds === undefined) {
      return 0;
    }
    const { callMs, maxPieces, pieceMs } = state.spec;
    let workMs = 0;
    kinds.forEach((sums, kind) => {
      workMs += sums.atLeast(minValue) * (callMs / maxPieces + (state.pieceMs.get(kind) ?? pieceMs));
    });
    return workMs / Math.max(MIN_SPEED, state.speed);
  }

  /** Adds the pieces of a stage, or takes them back. */
  private count({ need, regions }: Entry, stage: number, sign: 1 | -1): void {
    const { pool, pieces, kind } = need.stages[stage] as PipelineNeed['stages'][number];
    if (pieces === 0) {
      return;
    }
    const key = Ledger.keyOf(regions[stage] ?? this.homeRegion, pool);
    const kinds = this.pieces.get(key) ?? new Map<string, ValueSums>();
    const sums = kinds.get(kind) ?? createValueSums();
    sums.add(need.value, sign * pieces);
    if (sums.isEmpty) {
      kinds.delete(kind);
    } else {
      kinds.set(kind, sums);
    }
    this.pieces.set(key, kinds);
  }

  private static keyOf(region: string, pool: string): string {
    return `${region} ${pool}`;
  }

  private static slotOf(atMs: number): number {
    return Math.floor(atMs / SLOT_MS);
  }
}

/**
 * Creates the ledger of a region. Work counts from the admission of a request to the end of its stage, also while the
 * stages before are still running, so that a crest is seen at the pools behind before it reaches them. The time to read a
 * load grows with the kinds of pieces and the classes of values, not with the open requests.
 *
 * @param homeRegion - own region
 * @param findPool - how the servers of a pool do in a region
 * @returns the ledger
 */
export default function createWorkLedger(
  homeRegion: string,
  findPool: (pool: string, region: string) => StagePoolState | undefined,
): WorkLedger {
  return new Ledger(homeRegion, findPool);
}
