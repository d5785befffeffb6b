import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { BatchSpec } from '@bergamotcove/config';
import { LATE_VALUE } from '../forwarding/valueRequest.js';
import createWorkLedger, { type RoomOptions } from '../scheduling/createWorkLedger.js';
import decideEntry from '../scheduling/decideEntry.js';
import type { PipelineNeed, StagePoolState } from '../scheduling/types.js';
import createOwnerModel, { type ModelResults, type OwnerModel, type OwnerModelOptions } from './createOwnerModel.js';
import createVirtualTime from './createVirtualTime.js';

/** A kind of request: a chain of stages, one for each pool. */
export interface SimulatedKind {
  readonly kind: string;
  readonly ratePerS: (atMs: number) => number;
  readonly value: number;
  readonly minPieces: number;
  readonly maxPieces: number;
  readonly resultBytes: readonly number[];
  /** Pools of the stages. */
  readonly pools: readonly string[];
}

/** A load to simulate. */
export interface Simulation extends Pick<
  OwnerModelOptions,
  'latencyMs' | 'sizeError' | 'brokenShare' | 'freesOnAnswer' | 'knowsSizes'
> {
  readonly seed: number;
  readonly durationMs: number;
  readonly pools: Readonly<Record<string, { readonly spec: BatchSpec; readonly servers: number }>>;
  readonly kinds: readonly SimulatedKind[];
  /** Whether the admission counts the memory for results. */
  readonly countsRoom: boolean;
  /** Changes of the number of servers of a pool. */
  readonly changes?: readonly { readonly atMs: number; readonly pool: string; readonly servers: number }[];
  /** Share of the requests whose callers leave before the answer. */
  readonly cancelShare?: number;
}

/** What the caller of one request got. */
export interface SimulatedRequest {
  readonly kind: string;
  readonly pieces: number;
  readonly arrivedAtMs: number;
  outcome: 'open' | 'on-time' | 'late' | 'refused' | 'failed' | 'cancelled';
  endedAtMs: number;
}

/** Outcome of a simulation. */
export interface SimulatedLoad {
  readonly requests: readonly SimulatedRequest[];
  readonly pieces: number;
  /** Pieces that a server refused for want of memory. */
  readonly noRoom: number;
}

const ANSWER_MS = 150;
const DUE_MS = 2_500;
const DEADLINE_MS = 8_000;
const REPORT_MS = 300;
/** Time that a stage usually takes without load. */
const USUAL_STAGE_MS = 350;

class Run {
  private readonly time = createVirtualTime();

  private readonly owners = new Map<string, OwnerModel>();

  private readonly states = new Map<string, StagePoolState>();

  private readonly ledger = createWorkLedger('a', (pool) => this.states.get(pool));

  private readonly random: () => number;

  /** Results that open requests hold, by request. */
  private readonly held = new Map<string, ModelResults>();

  private readonly requests: SimulatedRequest[] = [];

  constructor(private readonly load: Simulation) {
    const generator = xoroshiro128plus(load.seed);
    this.random = () => uniformFloat64(generator);
    Object.entries(load.pools).forEach(([pool, { spec, servers }]) =>
      this.owners.set(pool, createOwnerModel({ ...load, spec, servers, time: this.time, random: this.random })),
    );
  }

  run(): SimulatedLoad {
    const { load, time } = this;
    this.report();
    load.kinds.forEach((kind) => this.arrive(kind));
    load.changes?.forEach(({ atMs, pool, servers }) =>
      time.schedule(atMs, () => {
        this.owners.get(pool)?.setServers(servers);
        this.readStates();
      }),
    );
    time.runUntil(load.durationMs + 2 * DEADLINE_MS);
    const counts = [...this.owners.values()].map((owner) => owner.counts);
    const sum = (read: (count: OwnerModel['counts']) => number): number =>
      counts.reduce((all, one) => all + read(one), 0);
    return { requests: this.requests, pieces: sum(({ pieces }) => pieces), noRoom: sum(({ noRoom }) => noRoom) };
  }

  private readStates(): void {
    this.owners.forEach((owner, pool) => {
      const { spec } = this.load.pools[pool] as Simulation['pools'][string];
      const { speed, pieceMs } = owner.readState();
      const roomBytes = spec.resultMemoryBytes * owner.serverCount;
      const room = this.load.countsRoom ? { roomBytes } : {};
      this.states.set(pool, {
        spec,
        speed: Math.min(speed, owner.serverCount),
        pieceMs: new Map(Object.entries(pieceMs)),
        ...room,
      });
    });
  }

  private report(): void {
    this.readStates();
    if (this.time.nowMs < this.load.durationMs) {
      this.time.schedule(REPORT_MS, () => this.report());
    }
  }

  private arrive(kind: SimulatedKind): void {
    const waitMs = (-Math.log(1 - this.random()) * 1_000) / Math.max(0.01, kind.ratePerS(this.time.nowMs));
    if (this.time.nowMs + waitMs < this.load.durationMs) {
      this.time.schedule(waitMs, () => {
        this.enter(kind);
        this.arrive(kind);
      });
    }
  }

  private enter(kind: SimulatedKind): void {
    const { nowMs } = this.time;
    this.ledger.expire(nowMs);
    const pieces = kind.minPieces + Math.floor(this.random() * (kind.maxPieces - kind.minPieces + 1));
    const request: SimulatedRequest = {
      kind: kind.kind,
      pieces,
      arrivedAtMs: nowMs,
      outcome: 'open',
      endedAtMs: nowMs,
    };
    const requestId = String(this.requests.push(request));
    const need: PipelineNeed = {
      requestId,
      value: kind.value * (0.3 + (1.4 * pieces) / (kind.minPieces + kind.maxPieces)),
      stages: kind.pools.map((pool, stage) => ({
        pool,
        after: stage === 0 ? [] : [stage - 1],
        pieces,
        kind: `${kind.kind}/${stage}`,
        resultBytes: kind.resultBytes[stage] ?? 0,
      })),
      dueAtMs: nowMs + DUE_MS,
      deadlineAtMs: nowMs + DEADLINE_MS,
      arrivedAtMs: nowMs,
    };
    const home = {
      region: 'a',
      findPool: (pool: string) => this.states.get(pool),
      loadMs: (pool: string, minValue: number) => this.ledger.loadMs(pool, minValue),
      roomByteMs: (pool: string, minValue: number, options: RoomOptions) =>
        this.ledger.roomByteMs(pool, minValue, options),
    };
    const decision = decideEntry(need, { nowMs, home, others: [], answerMs: ANSWER_MS });
    if (decision.type === 'refused') {
      request.outcome = 'refused';
      return;
    }
    const admitted =
      decision.type === 'late' ? { ...need, value: need.value * LATE_VALUE, dueAtMs: need.deadlineAtMs } : need;
    this.ledger.add(admitted, decision.regions, decision.holds);
    if (this.random() < (this.load.cancelShare ?? 0)) {
      this.time.schedule(this.random() * 1_500, () => this.end(request, need, 'cancelled'));
    }
    this.runStage(request, admitted, []);
  }

  private runStage(request: SimulatedRequest, need: PipelineNeed, done: readonly ModelResults[]): void {
    const stage = done.length;
    const { requestId, stages, value } = need;
    const { pool, kind, pieces, resultBytes } = stages[stage] as PipelineNeed['stages'][number];
    const job = {
      jobId: `${requestId}/${stage}`,
      pieceCount: pieces,
      kind,
      resultBytes,
      inputBytes: 0,
      priority: 0,
      value,
      progress: stage / stages.length,
      dueAtMs: need.dueAtMs - ANSWER_MS - (stages.length - stage - 1) * USUAL_STAGE_MS,
      expiresAtMs: need.deadlineAtMs - (stages.length - stage - 1) * 300,
      failureDomain: 'd0',
    };
    this.owners.get(pool)?.run(job, done.slice(-1), (results) => {
      if (request.outcome !== 'open') {
        results?.owner.release(results.resultIds);
        return;
      }
      if (results === undefined) {
        this.end(request, need, 'failed');
        return;
      }
      this.ledger.endStage(requestId, stage);
      this.releaseHeld(requestId);
      this.held.set(requestId, results);
      const isLast = stage + 1 === stages.length;
      this.time.schedule(isLast ? ANSWER_MS : 2 * this.load.latencyMs, () => {
        if (isLast) {
          this.end(request, need, this.time.nowMs <= need.arrivedAtMs + DUE_MS ? 'on-time' : 'late');
        } else if (request.outcome === 'open') {
          this.runStage(request, need, [...done, results]);
        }
      });
    });
  }

  private releaseHeld(requestId: string): void {
    const held = this.held.get(requestId);
    this.held.delete(requestId);
    held?.owner.release(held.resultIds);
  }

  private end(request: SimulatedRequest, need: PipelineNeed, outcome: SimulatedRequest['outcome']): void {
    const updated = request;
    if (request.outcome === 'open') {
      updated.outcome = outcome;
      updated.endedAtMs = this.time.nowMs;
      this.ledger.remove(need.requestId);
      need.stages.forEach(({ pool }, stage) => this.owners.get(pool)?.cancel(`${need.requestId}/${stage}`));
      this.releaseHeld(need.requestId);
    }
  }
}

/**
 * Simulates requests that run through the stage pools of a region, with the admission and the batch queues of the
 * gateway and models of servers and messages.
 *
 * @param load - pools, requests, delays and faults
 * @returns what the callers got, and how many pieces found no memory for their results
 */
export default function simulateStages(load: Simulation): SimulatedLoad {
  return new Run(load).run();
}
