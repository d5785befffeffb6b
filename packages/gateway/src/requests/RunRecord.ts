import type { Clock } from '@bergamotcove/clock';
import type { ServerDescription } from '@bergamotcove/decide';
import type { EntryResult } from '../scheduling/createSchedulerClient.js';
import type { ForwardRequest } from './types.js';

/** How a request ended, for logs and metrics. */
export interface ForwardEnd {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'caller-gone';
  readonly status: number;
  readonly reason: string;
  /** Block that ended the request: its fingerprint, or the key of a part of its prompt; undefined without one. */
  readonly blockedBy: string | undefined;
  /** Servers for which the request needed permission, because they have rate limits. */
  readonly limitedServerIds: readonly string[];
  readonly sends: number;
  readonly runs: number;
  /** Servers that the request was sent to, in the order of sending. */
  readonly serverIds: readonly string[];
  /** Software versions of these servers. */
  readonly softwareVersions: readonly string[];
  /** Id of the request whose stream it took up; undefined for others. */
  readonly resumes: string | undefined;
  /** Region that served the request, and its tier (`on-time` or `late`); undefined without stages. */
  readonly region: string | undefined;
  readonly tier: string | undefined;
  /** Time from arrival to the first byte, as predicted by the scheduler at entry. */
  readonly expectedMs: number | undefined;
  /** Duration of each stage including its wait; -1 for stages that did not end. */
  readonly stageTimesMs: readonly number[];
  /** Times since arrival: end of the stages, placement, first byte. Undefined for steps that were not reached. */
  readonly stagesMs: number | undefined;
  readonly placedMs: number | undefined;
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
}

/** Collects the times and counts of one request for logs and metrics. */
export default class RunRecord {
  runs = 0;

  /** Number of attempts that were sent and have not ended; two while one takes over from another. */
  private attemptsInFlight = 0;

  private readonly serverIds: string[] = [];

  private readonly addresses = new Set<string>();

  private readonly softwareVersions: string[] = [];

  private readonly limitedServerIds = new Set<string>();

  private region: string | undefined;

  private tier: string | undefined;

  private expectedMs: number | undefined;

  private readonly stageTimesMs: number[];

  private stagesMs: number | undefined;

  private placedMs: number | undefined;

  private firstByteMs: number | undefined;

  private blockedBy: string | undefined;

  private ending: Pick<ForwardEnd, 'outcome' | 'status' | 'reason'> = {
    outcome: 'failed',
    status: 0,
    reason: 'unknown',
  };

  constructor(
    private readonly clock: Clock,
    private readonly request: ForwardRequest,
  ) {
    this.stageTimesMs = request.route.stages.map(() => -1);
  }

  get sends(): number {
    return this.serverIds.length;
  }

  noteEntry({ region, tier, expectedInMs }: Extract<EntryResult, { type: 'admitted' }>): void {
    this.region = region;
    this.tier = tier;
    this.expectedMs = expectedInMs === undefined ? undefined : expectedInMs + this.elapsedMs();
  }

  noteStage(stage: number, elapsedMs: number): void {
    this.stageTimesMs[stage] = Math.round(elapsedMs);
  }

  noteStages(): void {
    this.stagesMs = this.elapsedMs();
  }

  notePlaced(): void {
    this.placedMs = this.elapsedMs();
  }

  /** Whether an attempt was sent to the address of a server, under this server's id or another one. */
  hasSentTo({ address, port }: ServerDescription): boolean {
    return this.addresses.has(`${address}:${port}`);
  }

  noteSend({ serverId, address, port, softwareVersion = '' }: ServerDescription): void {
    this.addresses.add(`${address}:${port}`);
    this.serverIds.push(serverId);
    this.softwareVersions.push(softwareVersion);
  }

  noteLimited(serverIds: readonly string[]): void {
    serverIds.forEach((serverId) => this.limitedServerIds.add(serverId));
  }

  /** Whether an attempt has been sent and has not ended. */
  get isInFlight(): boolean {
    return this.attemptsInFlight > 0;
  }

  /** Whether a server may have begun to run the request. */
  get mayHaveRun(): boolean {
    return this.isInFlight || this.runs > 0;
  }

  noteSending(): void {
    this.attemptsInFlight += 1;
  }

  noteRun(mayHaveRun: boolean): void {
    this.runs += mayHaveRun ? 1 : 0;
  }

  /** Ends an attempt that was sent; whether it may have run is noted before. */
  noteAttemptEnd(): void {
    this.attemptsInFlight -= 1;
  }

  noteFirstByte(): void {
    this.firstByteMs ??= this.elapsedMs();
  }

  noteBlock(key: string): void {
    this.blockedBy = key;
  }

  noteEnd(outcome: ForwardEnd['outcome'], status: number, reason: string): void {
    this.ending = { outcome, status, reason };
  }

  finish(): ForwardEnd {
    return {
      ...this.ending,
      blockedBy: this.blockedBy,
      limitedServerIds: [...this.limitedServerIds],
      sends: this.sends,
      runs: this.runs,
      serverIds: this.serverIds,
      softwareVersions: this.softwareVersions,
      resumes: this.request.facts.resumesRequestId,
      region: this.region,
      tier: this.tier,
      expectedMs: this.expectedMs,
      stageTimesMs: this.stageTimesMs,
      stagesMs: this.stagesMs,
      placedMs: this.placedMs,
      firstByteMs: this.firstByteMs,
      totalMs: this.elapsedMs(),
    };
  }

  private elapsedMs(): number {
    return this.clock.monotonicMs() - this.request.arrivedAtMs;
  }
}
