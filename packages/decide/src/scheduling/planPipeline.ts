import { USABLE_ROOM_SHARE } from '../batches/_lib/serverState.js';
import type { PipelineNeed, ResultHold, StagePoolState } from './types.js';

/** The stage pools of one region. */
export interface RegionPools {
  readonly region: string;
  readonly findPool: (pool: string) => StagePoolState | undefined;
  /** Returns the time in ms that the pool needs for the work ahead of the request. */
  readonly loadMs: (pool: string) => number;
  /**
   * Returns the memory, in bytes times ms, that results ahead of a request of the kind occupy at the pool; undefined when
   * that of all kinds is at most `aboveByteMs`.
   */
  readonly roomByteMs?: (pool: string, kind: string, aboveByteMs: number) => number | undefined;
}

/** Conditions under which a request is planned. */
export interface PipelineOutlook {
  readonly nowMs: number;
  /** Region that generates the answer. */
  readonly home: RegionPools;
  /** Other regions whose servers may run individual stages. */
  readonly others: readonly RegionPools[];
  /** Time from the end of the last stage to the start of the answer. */
  readonly answerMs: number;
  /** Monotonic time before which no engine takes the request; undefined when one takes it at once. */
  readonly engineAtMs?: number | undefined;
}

/** Regions of the stages of a request, and the predicted start of its answer. */
export interface PipelinePlan {
  /** Region by stage. */
  readonly regions: readonly string[];
  /** Predicted holding time of the results, by stage. */
  readonly holds: readonly ResultHold[];
  /** Monotonic time at which the answer is expected to begin. */
  readonly endAtMs: number;
}

/** Share of a running call for which a piece waits outside load peaks, when calls are seldom full. */
const CALL_WAIT_SHARE = 0.35;
/** Latency of a message or transfer to another region, without the time for its bytes. */
export const REGION_HOP_MS = 13;
/** Half of the bandwidth of the narrow link between two regions, because other traffic shares it. */
const REGION_BYTES_PER_MS = 1_300;
/** Least gain for which a stage runs in another region: the load reports of other regions are stale. */
const MIN_REGION_GAIN_MS = 60;

/** Time after the start of a call by which its server has fetched the inputs. */
const INPUT_FETCH_MS = 50;

interface PlannedStage {
  readonly region: string;
  /** Monotonic time at which the call begins; undefined without one. */
  readonly startAtMs?: number;
  /** Duration of a full call; calls are full under load. */
  readonly fullCallMs?: number;
  readonly endAtMs: number;
}

class Planner {
  private readonly planned: PlannedStage[] = [];

  private readonly finalStages: ReadonlySet<number>;

  constructor(
    private readonly need: PipelineNeed,
    private readonly outlook: PipelineOutlook,
  ) {
    const predecessors = new Set(need.stages.flatMap(({ after }) => after));
    this.finalStages = new Set(need.stages.flatMap((_, stage) => (predecessors.has(stage) ? [] : [stage])));
  }

  plan(): PipelinePlan {
    const { home, others, nowMs, answerMs, engineAtMs = nowMs } = this.outlook;
    this.need.stages.forEach((_, stage) => {
      const local = this.planStage(stage, home);
      const remotePlans = others.map((pools) => this.planStage(stage, pools));
      const bestRemote = remotePlans.reduce<PlannedStage | undefined>(
        (earliest, plan) => (earliest === undefined || plan.endAtMs < earliest.endAtMs ? plan : earliest),
        undefined,
      );
      const gainMs = bestRemote === undefined ? 0 : local.endAtMs - bestRemote.endAtMs - this.returnMs(stage);
      this.planned.push(bestRemote !== undefined && gainMs > MIN_REGION_GAIN_MS ? bestRemote : local);
    });
    const ends = this.planned.map(({ region, endAtMs }, stage) =>
      region === home.region || !this.finalStages.has(stage) ? endAtMs : endAtMs + this.returnMs(stage),
    );
    const endAtMs = Math.max(engineAtMs, nowMs, ...ends) + answerMs;
    return {
      regions: this.planned.map(({ region }) => region),
      holds: this.planned.map((_, stage) => this.predictHold(stage, endAtMs)),
      endAtMs,
    };
  }

  /** Predicts how long the results of a stage are held: until the calls that read them, or the answer, have begun. */
  private predictHold(stage: number, answerAtMs: number): ResultHold {
    const { fullCallMs = 0, endAtMs } = this.planned[stage] as PlannedStage;
    const readAtMs = this.planned.reduce((latest, reader, index) => {
      const isReader = this.need.stages[index]?.after.includes(stage) ?? false;
      return isReader ? Math.max(latest, (reader.startAtMs ?? reader.endAtMs) + INPUT_FETCH_MS) : latest;
    }, endAtMs);
    return {
      callMs: fullCallMs,
      waitMs: (this.finalStages.has(stage) ? answerAtMs : readAtMs) - endAtMs,
    };
  }

  /** Returns the time in ms to fetch the results of a stage from another region. */
  private fetchMs(stage: number): number {
    const { pieces = 0, resultBytes = 0 } = this.need.stages[stage] ?? {};
    return pieces === 0 ? 0 : REGION_HOP_MS + (pieces * resultBytes) / REGION_BYTES_PER_MS;
  }

  /** Returns the time in ms to fetch the results of a final stage from another region; 0 for other stages. */
  private returnMs(stage: number): number {
    return this.finalStages.has(stage) ? this.fetchMs(stage) : 0;
  }

  /** Predicts a stage in a region; its end is Infinity in another region that has no servers for it. */
  private planStage(stage: number, { region, findPool, loadMs, roomByteMs: readRoom }: RegionPools): PlannedStage {
    const { nowMs, home } = this.outlook;
    const { pool, after, pieces, kind } = this.need.stages[stage] as PipelineNeed['stages'][number];
    const readyAtMs = after.reduce((latest, inputStage) => {
      const input = this.planned[inputStage];
      const endAtMs = input?.endAtMs ?? nowMs;
      return Math.max(
        latest,
        input === undefined || input.region === region ? endAtMs : endAtMs + this.fetchMs(inputStage),
      );
    }, nowMs);
    const state = findPool(pool);
    if (pieces === 0 || state === undefined) {
      return { region, endAtMs: region === home.region ? readyAtMs : Infinity };
    }
    const { callMs, maxPieces, pieceMs } = state.spec;
    const serviceMs = callMs + Math.min(maxPieces, pieces) * (state.pieceMs.get(kind) ?? pieceMs);
    const timeMs = loadMs(pool);
    const usableBytes = (state.roomBytes || Infinity) * USABLE_ROOM_SHARE;
    const roomByteMs = readRoom?.(pool, kind, timeMs * usableBytes);
    const loadedMs = roomByteMs === undefined ? timeMs : roomByteMs / usableBytes;
    const waitMs = Math.max(loadedMs, callMs * CALL_WAIT_SHARE);
    const hopsMs = region === home.region ? 0 : 2 * REGION_HOP_MS;
    const startAtMs = Math.max(readyAtMs + callMs * CALL_WAIT_SHARE, nowMs + waitMs);
    const fullCallMs = callMs + maxPieces * (state.pieceMs.get(kind) ?? pieceMs);
    return { region, startAtMs, fullCallMs, endAtMs: startAtMs + serviceMs + hopsMs };
  }
}

/**
 * Plans the regions of the stages of a request and predicts when its answer begins. Each stage starts when its input
 * stages have ended and its pool has finished the work ahead of it: the servers have had the time for it and the memory
 * for its results, whichever takes longer. A stage runs in another region if the gain exceeds
 * the transfer time of its inputs and results.
 *
 * @param need - stages of the request
 * @param outlook - state and load of the pools
 * @returns the plan
 */
export default function planPipeline(need: PipelineNeed, outlook: PipelineOutlook): PipelinePlan {
  return new Planner(need, outlook).plan();
}
