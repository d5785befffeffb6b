import createValueSums, { type ValueSums } from './_lib/createValueSums.js';
import type { PipelineNeed, ResultHold, StagePoolState } from './types.js';

/** Outstanding work of admitted requests at the stage pools of a region. */
export interface WorkLedger {
  /**
   * Adds an admitted request, or replaces it. Stages without an entry in `regions` run in the home region; without one
   * in `holds`, their results are expected to be held for the time that is usual without load.
   */
  add(need: PipelineNeed, regions?: readonly string[], holds?: readonly ResultHold[]): void;
  /** Removes the work of a stage that has ended, and the results that no other stage will read any more. */
  endStage(requestId: string, stage: number): void;
  /** Removes the results of a request whose answer has begun: all of them have been read. */
  releaseResults(requestId: string): void;
  remove(requestId: string): void;
  clear(): void;
  /** Removes requests whose deadline has passed. */
  expire(nowMs: number): void;
  /**
   * Returns the time in ms that the servers of the pool need for the outstanding work of requests of at least the given
   * value. For another region it covers only the work that this region sent there. A caller that knows the state of the
   * pool passes it.
   */
  loadMs(pool: string, minValue: number, region?: string, state?: StagePoolState): number;
  /**
   * Returns the memory that results of requests of at least the given value will occupy at the pool, in bytes times ms;
   * undefined when it is at most `aboveByteMs`. With a kind, each other kind counts for at most as much as this one has
   * itself: kinds share the memory equally, so that a burst of one of them delays the burst itself and not the others.
   */
  roomByteMs(pool: string, minValue: number, options?: RoomOptions): number | undefined;
  readonly size: number;
}

/** Options of {@link WorkLedger.roomByteMs}. */
export interface RoomOptions {
  readonly kind?: string;
  readonly region?: string | undefined;
  readonly aboveByteMs?: number;
}

interface Entry {
  readonly need: PipelineNeed;
  /** Region by stage; undefined stands for the home region. */
  readonly regions: readonly string[];
  readonly holds: readonly ResultHold[];
  readonly ended: Set<number>;
  /** Memory that is counted for the results of each stage, in bytes times ms. */
  readonly roomByteMs: number[];
}

/** Outstanding amounts of a pool, by kind. */
type PoolSums = Map<string, ValueSums>;

/** Hold of results whose plan is not known, after a change of the scheduler: a half full call, and the usual wait. */
const USUAL_HOLD: ResultHold = { callMs: 300, waitMs: 150 };

/** Lower bound of a pool's speed, so that the load of a pool without servers is large but finite. */
const MIN_SPEED = 0.1;

/** Requests are grouped by deadline in slots of this length, so that an expiry scans few requests. */
const EXPIRY_SLOT_MS = 250;

class Ledger implements WorkLedger {
  private readonly entries = new Map<string, Entry>();

  /** By region and pool. */
  private readonly piecesByPool = new Map<string, PoolSums>();

  /** Memory for results in bytes times ms, by region and pool. */
  private readonly roomByPool = new Map<string, PoolSums>();

  /** Sums of {@link roomByPool} over all kinds and values. */
  private readonly roomTotals = new Map<string, number>();

  /** Requests by the slot of their deadline. */
  private readonly requestIdsBySlot = new Map<number, Set<string>>();

  constructor(
    private readonly homeRegion: string,
    private readonly findPool: (pool: string, region: string) => StagePoolState | undefined,
  ) {}

  get size(): number {
    return this.entries.size;
  }

  add(need: PipelineNeed, regions: readonly string[] = [], holds: readonly ResultHold[] = []): void {
    this.remove(need.requestId);
    const entry = { need, regions, holds, ended: new Set<number>(), roomByteMs: need.stages.map(() => 0) };
    this.entries.set(need.requestId, entry);
    need.stages.forEach(({ pieces }, stage) => {
      this.adjust(this.piecesByPool, entry, stage, pieces);
      const { callMs, waitMs } = holds[stage] ?? USUAL_HOLD;
      this.setRoom(entry, stage, callMs + waitMs);
    });
    const slot = Ledger.slotOf(need.deadlineAtMs);
    const requestIds = this.requestIdsBySlot.get(slot) ?? new Set();
    this.requestIdsBySlot.set(slot, requestIds.add(need.requestId));
  }

  endStage(requestId: string, stage: number): void {
    const entry = this.entries.get(requestId);
    if (entry === undefined || entry.ended.has(stage) || stage >= entry.need.stages.length) {
      return;
    }
    entry.ended.add(stage);
    this.adjust(this.piecesByPool, entry, stage, -(entry.need.stages[stage]?.pieces ?? 0));
    this.setRoom(entry, stage, (entry.holds[stage] ?? USUAL_HOLD).waitMs);
    const { stages } = entry.need;
    stages[stage]?.after.forEach((input) => {
      if (stages.every(({ after }, reader) => entry.ended.has(reader) || !after.includes(input))) {
        this.setRoom(entry, input, 0);
      }
    });
  }

  releaseResults(requestId: string): void {
    const entry = this.entries.get(requestId);
    entry?.need.stages.forEach((_, stage) => this.setRoom(entry, stage, 0));
  }

  remove(requestId: string): void {
    const entry = this.entries.get(requestId);
    if (entry !== undefined) {
      entry.need.stages.forEach(({ pieces }, stage) => {
        this.adjust(this.piecesByPool, entry, stage, entry.ended.has(stage) ? 0 : -pieces);
        this.setRoom(entry, stage, 0);
      });
      this.entries.delete(requestId);
      this.requestIdsBySlot.get(Ledger.slotOf(entry.need.deadlineAtMs))?.delete(requestId);
    }
  }

  clear(): void {
    this.entries.clear();
    this.piecesByPool.clear();
    this.roomByPool.clear();
    this.roomTotals.clear();
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

  loadMs(pool: string, minValue: number, region: string = this.homeRegion, known?: StagePoolState): number {
    const sumsByKind = this.piecesByPool.get(Ledger.keyOf(region, pool));
    const state = sumsByKind === undefined ? undefined : (known ?? this.findPool(pool, region));
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

  roomByteMs(
    pool: string,
    minValue: number,
    { kind, region = this.homeRegion, aboveByteMs = 0 }: RoomOptions = {},
  ): number | undefined {
    const key = Ledger.keyOf(region, pool);
    const sumsByKind = this.roomByPool.get(key);
    // The sum of all values is an upper bound that costs nothing to read.
    if (sumsByKind === undefined || (this.roomTotals.get(key) ?? 0) <= aboveByteMs) {
      return undefined;
    }
    let ownByteMs = 0;
    const amounts: number[] = [];
    sumsByKind.forEach((sums, sumKind) => {
      const amount = sums.atLeast(minValue);
      ownByteMs = sumKind === kind ? amount : ownByteMs;
      amounts.push(amount);
    });
    const total = amounts.reduce((sum, amount) => sum + amount, 0);
    if (total <= aboveByteMs) {
      return undefined;
    }
    return kind === undefined ? total : amounts.reduce((sum, amount) => sum + Math.min(ownByteMs, amount), 0);
  }

  /** Sets the time for which the results of a stage are counted. */
  private setRoom(entry: Entry, stage: number, holdMs: number): void {
    const { pieces, resultBytes, pool } = entry.need.stages[stage] as PipelineNeed['stages'][number];
    // Whole numbers: sums of fractions would not return to 0.
    const byteMs = Math.round(pieces * resultBytes * holdMs);
    const added = byteMs - (entry.roomByteMs[stage] ?? 0);
    if (added !== 0) {
      const key = Ledger.keyOf(entry.regions[stage] ?? this.homeRegion, pool);
      this.roomTotals.set(key, (this.roomTotals.get(key) ?? 0) + added);
      this.adjust(this.roomByPool, entry, stage, added);
      entry.roomByteMs.splice(stage, 1, byteMs);
    }
  }

  /** Adds an amount to the sums of the pool of a stage. */
  private adjust(sumsByPool: Map<string, PoolSums>, { need, regions }: Entry, stage: number, amount: number): void {
    if (amount === 0) {
      return;
    }
    const { pool, kind } = need.stages[stage] as PipelineNeed['stages'][number];
    const key = Ledger.keyOf(regions[stage] ?? this.homeRegion, pool);
    const sumsByKind = sumsByPool.get(key) ?? new Map<string, ValueSums>();
    const sums = sumsByKind.get(kind) ?? createValueSums();
    sums.add(need.value, amount);
    if (sums.isEmpty) {
      sumsByKind.delete(kind);
    } else {
      sumsByKind.set(kind, sums);
    }
    sumsByPool.set(key, sumsByKind);
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
 * earlier stages still run, so that a load peak is visible at later pools before it reaches them. Memory for results
 * counts until the stages that read them have ended; those of the last stages until the answer begins. The cost of reading a
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
