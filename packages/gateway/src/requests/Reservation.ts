import type { EngineEvent } from '@bergamotcove/decide';
import type { ForwardRequest } from './types.js';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { StageFormat } from '../ports.js';
import type { GenerationRequest, PlaceAnswer } from '../scheduling/messages.js';
import type { EntryResult, SchedulerClient } from '../scheduling/createSchedulerClient.js';
import type { StagePorts } from '../stages/runStages.js';
import sumBytesByDomain from '../stages/sumBytesByDomain.js';
import type HeldResults from './HeldResults.js';

/** Dependencies of {@link Reservation}. */
export interface ReservationPorts {
  readonly scheduler: SchedulerClient;
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'closedUntilMs'>;
  readonly stageFormat: StageFormat;
  readonly clock: { monotonicMs(): number };
  readonly region: string;
}

/** Assumed time from the last stage to the first token when nothing is known about the engines. */
export const DEFAULT_ANSWER_MS = 150;

/** Which engines may get an attempt. */
export interface EngineConstraints {
  /** Servers that failed this request and are avoided. */
  readonly avoidServers: readonly string[];
  /** Version that the engine must have; undefined when any will do. */
  readonly softwareVersion: string | undefined;
}

/** The entry of one request in the schedule of a region. */
export default class Reservation {
  /** Region whose servers serve the request. */
  region: string;

  /** Failure domain whose servers are preferred. */
  failureDomain: string | undefined;

  tier: 'on-time' | 'late' = 'on-time';

  /** Expected time from the last stage to the start of the answer. */
  answerMs = DEFAULT_ANSWER_MS;

  private stageRegions: readonly string[] = [];

  private entered = false;

  constructor(
    private readonly request: ForwardRequest,
    private readonly pool: string,
    private readonly ports: ReservationPorts,
  ) {
    this.region = ports.region;
  }

  /** Asks the scheduler to admit the request. Call it once for each request. */
  async enter(): Promise<EntryResult> {
    const { requestId, value, route, facts, arrivedAtMs, deadlineAtMs } = this.request;
    const nowMs = this.ports.clock.monotonicMs();
    const entry = await this.ports.scheduler.enter({
      requestId,
      value,
      stages: route.stages.map(({ pool, after, resultBytes }, stage) => ({
        pool,
        after,
        pieces: facts.pieceCounts[stage] ?? 0,
        kind: `${route.name}/${stage}`,
        resultBytes,
      })),
      dueInMs: arrivedAtMs + route.objectiveMs - nowMs,
      deadlineInMs: deadlineAtMs - nowMs,
      generation: this.describeGeneration(),
    });
    if (entry.type === 'admitted') {
      this.entered = true;
      this.region = entry.region;
      this.stageRegions = entry.regions;
      this.failureDomain = entry.failureDomain;
      this.tier = entry.tier;
      this.answerMs = entry.answerMs ?? DEFAULT_ANSWER_MS;
    }
    return entry;
  }

  /** Region whose servers run a stage. */
  regionOf(stage: number): string {
    return this.stageRegions[stage] ?? this.region;
  }

  /** Options of the stages that follow from the answer of the scheduler. */
  describeStages(ownDomain: string): Pick<StagePorts, 'regionOf' | 'failureDomain' | 'expectedLate' | 'answerMs'> {
    return {
      regionOf: (stage) => this.regionOf(stage),
      failureDomain: this.failureDomain ?? ownDomain,
      expectedLate: this.tier === 'late',
      answerMs: this.answerMs,
    };
  }

  endStage(stage: number): void {
    const { requestId } = this.request;
    this.ports.scheduler.note(this.region, { type: 'stage-ended', requestId, stage });
  }

  /** Asks for an engine for the generation. Empty for other requests, and when the scheduler names none. */
  place(results: HeldResults, { avoidServers, softwareVersion }: EngineConstraints): Promise<PlaceAnswer> {
    const generation = this.describeGeneration();
    if (generation === undefined) {
      return Promise.resolve({});
    }
    const { requestId, fingerprint, deadlineAtMs } = this.request;
    const { clock, directory, limits, stageFormat } = this.ports;
    const findDomain = (result: string) => directory.findAt(stageFormat.readHolderAddress(result))?.failureDomain;
    const resultBytes = Object.fromEntries(sumBytesByDomain(results.listLast(), findDomain));
    const nowMs = clock.monotonicMs();
    const closed = directory.list(this.pool).filter(({ serverId }) => limits.closedUntilMs(serverId) > nowMs);
    // The scheduler does not know which servers this host avoids because of their answers to it.
    const avoided = [...avoidServers, ...directory.listExcluded(this.pool), ...closed.map(({ serverId }) => serverId)];
    const deadlineInMs = deadlineAtMs - nowMs;
    const version = softwareVersion === undefined ? {} : { softwareVersion };
    const facts = { requestId, key: fingerprint, deadlineInMs, resultBytes, avoidServers: avoided, ...version };
    return this.ports.scheduler.place(this.region, { ...generation, ...facts });
  }

  noteFirstToken(slowness: number | undefined): void {
    const { requestId } = this.request;
    this.noteEngine({ type: 'first-token', requestId, slowness });
  }

  /** Tells the scheduler that the current attempt has ended. */
  noteAttemptEnd(type: 'ended' | 'failed'): void {
    this.noteEngine({ type, requestId: this.request.requestId });
  }

  leave(): void {
    if (this.entered) {
      this.entered = false;
      this.ports.scheduler.note(this.region, { type: 'left', requestId: this.request.requestId });
    }
  }

  private noteEngine(event: EngineEvent): void {
    if (this.entered) {
      this.ports.scheduler.note(this.region, { type: 'engine', pool: this.pool, event });
    }
  }

  private describeGeneration(): GenerationRequest | undefined {
    const { generation } = this.request.facts;
    return generation === undefined
      ? undefined
      : { pool: this.pool, parts: generation.parts, promptTokens: generation.promptTokens };
  }
}
