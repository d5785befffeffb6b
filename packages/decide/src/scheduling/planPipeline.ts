import type { PipelineNeed, StagePoolState } from './types.js';

/** The stage pools of one region. */
export interface RegionPools {
  readonly region: string;
  readonly findPool: (pool: string) => StagePoolState | undefined;
  /** Time that the pool needs for what goes before. */
  readonly loadMs: (pool: string) => number;
}

/** What the plan of a request rests on. */
export interface PipelineOutlook {
  readonly nowMs: number;
  /** Region that makes the answer. */
  readonly home: RegionPools;
  /** Regions whose servers may run single stages. */
  readonly others: readonly RegionPools[];
  /** Time from the last stage to the begin of the answer. */
  readonly answerMs: number;
}

/** Where the stages of a request run, and when its answer begins. */
export interface PipelinePlan {
  /** Region by stage. */
  readonly regions: readonly string[];
  /** Monotonic time at which the answer begins. */
  readonly endAtMs: number;
}

/** Calls are seldom full outside a crest; a piece waits for about this part of a call in progress. */
const WAIT_SHARE = 0.35;
/** Time of a message or a transfer to another region, besides its bytes. */
export const REGION_HOP_MS = 13;
/** Half of the narrow link between two regions, because others use it as well. */
const REGION_BYTES_PER_MS = 1_300;
/** A stage leaves its region only when it is expected to end this much earlier: reports of other regions are old. */
const REGION_GAIN_MS = 60;

interface PlannedStage {
  readonly region: string;
  readonly endAtMs: number;
}

class Planner {
  private readonly planned: PlannedStage[] = [];

  private readonly last: ReadonlySet<number>;

  constructor(
    private readonly need: PipelineNeed,
    private readonly outlook: PipelineOutlook,
  ) {
    const followed = new Set(need.stages.flatMap(({ after }) => after));
    this.last = new Set(need.stages.flatMap((_, stage) => (followed.has(stage) ? [] : [stage])));
  }

  plan(): PipelinePlan {
    const { home, others, nowMs, answerMs } = this.outlook;
    this.need.stages.forEach((_, stage) => {
      const local = { region: home.region, endAtMs: this.predictEnd(stage, home) };
      const elsewhere = others.map((pools) => ({ region: pools.region, endAtMs: this.predictEnd(stage, pools) }));
      const best = elsewhere.reduce<PlannedStage | undefined>(
        (least, one) => (least === undefined || one.endAtMs < least.endAtMs ? one : least),
        undefined,
      );
      const gainMs = best === undefined ? 0 : local.endAtMs - best.endAtMs - this.returnMs(stage);
      this.planned.push(best !== undefined && gainMs > REGION_GAIN_MS ? best : local);
    });
    const ends = this.planned.map(({ region, endAtMs }, stage) =>
      region === home.region || !this.last.has(stage) ? endAtMs : endAtMs + this.returnMs(stage),
    );
    return { regions: this.planned.map(({ region }) => region), endAtMs: Math.max(nowMs, ...ends) + answerMs };
  }

  /** Time to fetch the results of a stage from another region. */
  private fetchMs(stage: number): number {
    const { pieces = 0, resultBytes = 0 } = this.need.stages[stage] ?? {};
    return pieces === 0 ? 0 : REGION_HOP_MS + (pieces * resultBytes) / REGION_BYTES_PER_MS;
  }

  /** Time until the answer can use the results of a last stage that runs in another region. */
  private returnMs(stage: number): number {
    return this.last.has(stage) ? this.fetchMs(stage) : 0;
  }

  /** When the stage ends in a region; never in another one without servers. */
  private predictEnd(stage: number, { region, findPool, loadMs }: RegionPools): number {
    const { nowMs, home } = this.outlook;
    const { pool, after, pieces, kind } = this.need.stages[stage] as PipelineNeed['stages'][number];
    const readyAtMs = after.reduce((latest, before) => {
      const input = this.planned[before];
      const endAtMs = input?.endAtMs ?? nowMs;
      return Math.max(
        latest,
        input === undefined || input.region === region ? endAtMs : endAtMs + this.fetchMs(before),
      );
    }, nowMs);
    const state = findPool(pool);
    if (pieces === 0 || state === undefined) {
      return region === home.region ? readyAtMs : Infinity;
    }
    const { callMs, maxPieces, pieceMs } = state.spec;
    const ownMs = callMs + Math.min(maxPieces, pieces) * (state.pieceMs.get(kind) ?? pieceMs);
    const waitMs = Math.max(loadMs(pool), callMs * WAIT_SHARE);
    const hopsMs = region === home.region ? 0 : 2 * REGION_HOP_MS;
    return Math.max(readyAtMs + callMs * WAIT_SHARE, nowMs + waitMs) + ownMs + hopsMs;
  }
}

/**
 * Plans where the stages of a request run and predicts when its answer begins: each stage starts when the stages before
 * it have ended and its pool has done what goes before. A stage runs in another region where that is worth the way of
 * its inputs and results.
 *
 * @param need - stages of the request
 * @param outlook - load of the pools
 * @returns the plan
 */
export default function planPipeline(need: PipelineNeed, outlook: PipelineOutlook): PipelinePlan {
  return new Planner(need, outlook).plan();
}
