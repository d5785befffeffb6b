import { chooseRegion, isPermitted, type EngineEvent } from '@bergamotcove/decide';
import type { ForwardRequest } from './types.js';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { Residency } from '../residency/createResidency.js';
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
  readonly residency: Pick<Residency, 'findRegions'>;
  readonly directory: BackendDirectory;
  readonly limits: Pick<RateLimits, 'closedUntilMs'>;
  readonly stageFormat: StageFormat;
  readonly clock: { monotonicMs(): number };
  readonly region: string;
}

/** Assumed time from the last stage to the first token when nothing is known about the engines. */
export const DEFAULT_ANSWER_MS = 150;

/** Retry-After of a request whose permitted regions have changed. */
const MOVED_RETRY_MS = 300;

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
    const { residency, scheduler } = this.ports;
    const homeRegions = residency.findRegions(this.request);
    const need = {
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
    };
    const entry =
      homeRegions === undefined
        ? await scheduler.enter(need)
        : await scheduler.enter({ ...need, homeRegions }, this.chooseRegion(this.pool, this.region));
    if (entry.type === 'admitted') {
      this.entered = true;
      this.region = entry.region;
      this.stageRegions = route.stages.map((stage, index) =>
        this.chooseRegion(stage.pool, entry.regions[index] ?? entry.region),
      );
      this.failureDomain = entry.failureDomain;
      this.tier = entry.tier;
      this.answerMs = entry.answerMs ?? DEFAULT_ANSWER_MS;
    }
    // The regions may have changed while the scheduler was asked.
    return this.isWithin(residency.findRegions(this.request))
      ? entry
      : { type: 'refused', retryAfterMs: MOVED_RETRY_MS };
  }

  /** Whether the regions to which the request was assigned are permitted; undefined permits any. */
  isWithin(regions: readonly string[] | undefined): boolean {
    return !this.entered || [this.region, ...this.stageRegions].every((region) => isPermitted(regions, region));
  }

  /** Region whose servers run a stage. */
  regionOf(stage: number): string {
    return this.stageRegions[stage] ?? this.region;
  }

  /** Options of the stages that follow from the answer of the scheduler. */
  describeStages(
    ownDomain: string,
  ): Pick<StagePorts, 'regionOf' | 'findRegions' | 'failureDomain' | 'expectedLate' | 'answerMs'> {
    return {
      regionOf: (stage) => this.regionOf(stage),
      findRegions: () => this.ports.residency.findRegions(this.request),
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
  async place(results: HeldResults, { avoidServers, softwareVersion }: EngineConstraints): Promise<PlaceAnswer> {
    const generation = this.describeGeneration();
    if (generation === undefined) {
      return {};
    }
    const { requestId, fingerprint, deadlineAtMs } = this.request;
    const { clock, directory, limits, stageFormat, residency, scheduler } = this.ports;
    const findDomain = (result: string) => directory.findAt(stageFormat.readHolderAddress(result))?.failureDomain;
    const resultBytes = Object.fromEntries(sumBytesByDomain(results.listLast(), findDomain));
    const nowMs = clock.monotonicMs();
    const closed = directory.list(this.pool).filter(({ serverId }) => limits.closedUntilMs(serverId) > nowMs);
    // The scheduler does not know which servers this host avoids because of their answers to it.
    const avoided = [...avoidServers, ...directory.listExcluded(this.pool), ...closed.map(({ serverId }) => serverId)];
    const deadlineInMs = deadlineAtMs - nowMs;
    const version = softwareVersion === undefined ? {} : { softwareVersion };
    const facts = { requestId, key: fingerprint, deadlineInMs, resultBytes, avoidServers: avoided, ...version };
    const homeRegions = residency.findRegions(this.request);
    const permitted = homeRegions === undefined ? {} : { homeRegions };
    const region = this.chooseRegion(this.pool, this.region);
    const answer = await scheduler.place(region, { ...generation, ...facts, ...permitted });
    const { serverId } = answer;
    const permittedNow = residency.findRegions(this.request);
    if (serverId === undefined || isPermitted(permittedNow, directory.find(serverId)?.region)) {
      return answer;
    }
    // A scheduler of an earlier build does not know the permitted regions.
    this.noteAttemptEnd('ended');
    return {};
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

  /** Region whose hosts are asked about a pool: the preferred one unless it may not serve the request. */
  private chooseRegion(pool: string, preferred: string): string {
    const { directory, residency } = this.ports;
    const hasServers = (region: string) => directory.list(pool).some((server) => server.region === region);
    return chooseRegion({ regions: residency.findRegions(this.request), preferred, hasServers }) ?? preferred;
  }

  private describeGeneration(): GenerationRequest | undefined {
    const { generation } = this.request.facts;
    return generation === undefined
      ? undefined
      : { pool: this.pool, parts: generation.parts, promptTokens: generation.promptTokens };
  }
}
