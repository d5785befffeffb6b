import { LATE_VALUE, type RouteIndex } from '@bergamotcove/decide';
import type { Clock } from '@bergamotcove/clock';
import type { RouteStage } from '@bergamotcove/config';
import type { ForwardRequest } from '../requests/types.js';
import type { StageClient } from './createStageClient.js';
import type { StageJob, StageJobResult } from './messages.js';
import measureCriticalPaths from './measureCriticalPaths.js';
import planStageTimes, { type StageTimes } from './planStageTimes.js';

/** Handles of the results of the stages of a request. */
export interface StageResults {
  /** Handles by stage; empty for a stage without pieces. */
  readonly byStage: readonly (readonly string[])[];
  /** Handles of the last stages, those that no other stage follows, in order. */
  readonly last: readonly string[];
}

/** Outcome of the stages of a request. */
export type StagesOutcome =
  { readonly type: 'done'; readonly results: StageResults } | Extract<StageJobResult, { type: 'failed' }>;

/** Dependencies and options of {@link runStages}. */
export interface StagePorts {
  readonly clock: Clock;
  readonly client: StageClient;
  readonly index: RouteIndex;
  /** Region whose servers run a stage. */
  readonly regionOf: (stage: number) => string;
  /** Regions whose servers may run the stages now; undefined when any may. */
  readonly findRegions: () => readonly string[] | undefined;
  /** Failure domain whose servers are preferred among equals. */
  readonly failureDomain: string;
  /** Whether the request is expected to be late. Then it gives precedence to those that can be on time. */
  readonly expectedLate: boolean;
  /** Expected time from the last stage to the start of the answer. */
  readonly answerMs: number;
  readonly onStageEnded: (stage: number, elapsedMs: number) => void;
}

/** A stage starts when the longest critical path of the other open stages is at most this multiple of its own. */
const EARLY_START_FACTOR = 2;

class StageRun {
  private readonly results: (readonly string[] | undefined)[];

  private readonly abort = new AbortController();

  /** Stages whose results were released. */
  private readonly released = new Set<number>();

  private readonly times: readonly StageTimes[];

  private readonly criticalPathsMs: readonly number[];

  constructor(
    private readonly request: ForwardRequest,
    private readonly ports: StagePorts,
    private readonly round: number,
  ) {
    this.results = request.route.stages.map((_, stage) => (this.countPieces(stage) === 0 ? [] : undefined));
    this.times = planStageTimes(request, ports.index, ports);
    this.criticalPathsMs = measureCriticalPaths(request, ports.index);
  }

  async run(signal: AbortSignal): Promise<StagesOutcome> {
    const stop = (): void => this.abort.abort();
    signal.addEventListener('abort', stop, { once: true });
    try {
      const failed = await this.runReadyStages();
      return failed ?? { type: 'done', results: this.collectResults() };
    } finally {
      signal.removeEventListener('abort', stop);
    }
  }

  private countPieces(stage: number): number {
    return this.request.facts.pieceCounts[stage] ?? 0;
  }

  /** Runs stages as their inputs become available; resolves with the first failure, if any. */
  private runReadyStages(): Promise<StagesOutcome | undefined> {
    return new Promise((resolve, reject) => {
      const fail = (cause: unknown): void => {
        this.abort.abort();
        this.releaseAll();
        reject(cause);
      };
      const started = new Set<number>();
      const advance = (): void => {
        if (this.results.every((results) => results !== undefined)) {
          resolve(undefined);
          return;
        }
        this.request.route.stages.forEach((spec, stage) => {
          const ready = spec.after.every((before) => this.results[before] !== undefined);
          if (this.results[stage] !== undefined || started.has(stage) || !ready || this.isTooEarly(stage)) {
            return;
          }
          started.add(stage);
          const startedAtMs = this.ports.clock.monotonicMs();
          const region = this.ports.regionOf(stage);
          const running = this.ports.client.run(region, this.createJob(spec, stage), this.abort.signal);
          const take = (result: StageJobResult): void => {
            if (result.type === 'failed') {
              this.abort.abort();
              this.releaseAll();
              resolve(result);
              return;
            }
            this.results[stage] = result.results;
            this.ports.onStageEnded(stage, this.ports.clock.monotonicMs() - startedAtMs);
            this.releaseConsumed();
            advance();
          };
          running.then(take).catch(fail);
        });
      };
      advance();
    });
  }

  /**
   * Whether the results of a stage would wait at their server for a much longer chain of stages. The memory for results
   * limits the throughput of pools with large results.
   */
  private isTooEarly(stage: number): boolean {
    const unfinishedMs = this.criticalPathsMs.filter(
      (_, other) => other !== stage && this.results[other] === undefined,
    );
    return Math.max(0, ...unfinishedMs) > (this.criticalPathsMs[stage] ?? 0) * EARLY_START_FACTOR;
  }

  private createJob(spec: RouteStage, stage: number): StageJob {
    const { requestId, fingerprint, route, facts, priority, value } = this.request;
    const nowMs = this.ports.clock.monotonicMs();
    const { dueAtMs, expiresAtMs } = this.times[stage] as StageTimes;
    const homeRegions = this.ports.findRegions();
    return {
      jobId: `${requestId}/${stage}/${this.round}`,
      pool: spec.pool,
      requestId,
      fingerprint,
      stage,
      kind: `${route.name}/${stage}`,
      priority,
      progress: this.results.filter((results) => results !== undefined).length / route.stages.length,
      value: this.ports.expectedLate ? value * LATE_VALUE : value,
      dueInMs: dueAtMs - nowMs,
      expiresInMs: expiresAtMs - nowMs,
      resultBytes: spec.resultBytes,
      failureDomain: this.ports.failureDomain,
      pieceCount: this.countPieces(stage),
      key: facts.pieceKey,
      inputs: spec.after.map((before) => ({
        pool: route.stages[before]?.pool ?? '',
        region: this.ports.regionOf(before),
        resultBytes: route.stages[before]?.resultBytes ?? 0,
        results: this.results[before] ?? [],
      })),
      ...(homeRegions === undefined ? {} : { homeRegions }),
    };
  }

  /** Releases results that every following stage has used. */
  private releaseConsumed(): void {
    const { stages } = this.request.route;
    stages.forEach(({ pool }, stage) => {
      const followers = stages.flatMap(({ after }, index) => (after.includes(stage) ? [index] : []));
      const results = this.results[stage];
      const consumed = followers.length > 0 && followers.every((index) => this.results[index] !== undefined);
      if (consumed && results !== undefined && !this.released.has(stage)) {
        this.released.add(stage);
        this.ports.client.release(this.ports.regionOf(stage), pool, results);
      }
    });
  }

  private releaseAll(): void {
    const { client, regionOf } = this.ports;
    this.request.route.stages.forEach(({ pool }, stage) =>
      client.release(regionOf(stage), pool, this.results[stage] ?? []),
    );
  }

  private collectResults(): StageResults {
    const { stages } = this.request.route;
    const followed = new Set(stages.flatMap(({ after }) => after));
    const byStage = this.results.map((results) => results ?? []);
    return { byStage, last: byStage.flatMap((results, stage) => (followed.has(stage) ? [] : results)) };
  }
}

/**
 * Runs the stages of a request.
 *
 * @param request - request with the piece counts of its stages
 * @param ports - client of the batch owners, and scheduling options
 * @param options - signal that cancels the stages, and the round, which makes the job ids unique
 * @returns handles of the results, or the first failure; rejects only when an exception is thrown over an answer
 */
export default function runStages(
  request: ForwardRequest,
  ports: StagePorts,
  options: { readonly signal: AbortSignal; readonly round: number },
): Promise<StagesOutcome> {
  return new StageRun(request, ports, options.round).run(options.signal);
}
