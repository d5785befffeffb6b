import type { Clock } from '@bergamotcove/clock';
import { isPermitted } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import matchesShape, { type Shape } from '../hosts/matchesShape.js';
import readVariant from '../hosts/readVariant.js';
import scheduleSilence from '../hosts/scheduleSilence.js';
import { SCHEDULER_DUTY, type RegionScheduler } from './createRegionScheduler.js';
import {
  ENTER,
  NOTE,
  PLACE,
  REOPEN,
  REPORT_POOL,
  type EnterAnswer,
  type EnterRequest,
  type OpenRequest,
  type PlaceAnswer,
  type PlaceRequest,
  type PoolReport,
  type RequestNote,
} from './messages.js';

/** Result of asking for the admission of a request. */
export type EntryResult =
  | {
      readonly type: 'admitted';
      /** Region whose servers serve the request. */
      readonly region: string;
      readonly tier: 'on-time' | 'late';
      /** Expected time from entry to the start of the answer; undefined when the scheduler did not answer. */
      readonly expectedInMs: number | undefined;
      readonly answerMs: number | undefined;
      readonly failureDomain: string | undefined;
      /** Region by stage; a missing entry means the region of the request. */
      readonly regions: readonly string[];
    }
  | { readonly type: 'refused'; readonly retryAfterMs: number };

/** Calls the schedulers of the regions, on this host or others. */
export interface SchedulerClient {
  /**
   * Asks the scheduler of a region, by default the own one, for the admission of a request. Without an answer in time it
   * is admitted in that region.
   */
  enter(request: Omit<EnterRequest, 'visiting'>, region?: string): Promise<EntryResult>;
  /** Asks for an engine. The answer is empty when the scheduler does not answer or knows no engine. */
  place(region: string, request: PlaceRequest): Promise<PlaceAnswer>;
  note(region: string, note: RequestNote): void;
  reportPool(report: PoolReport): void;
}

/** Options of {@link createSchedulerClient}. */
export interface SchedulerClientOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hosts: HostRegistry;
  readonly links: LinkClient;
  readonly local: RegionScheduler;
  readonly region: string;
}

const ENTER_ANSWERS: Readonly<Record<EnterAnswer['type'], Shape>> = {
  admitted: {
    tier: 'string',
    'expectedInMs?': 'number',
    'answerMs?': 'number',
    'failureDomain?': 'string',
    regions: ['string'],
  },
  refused: { retryAfterMs: 'number' },
  elsewhere: { region: 'string' },
};
const PLACE_ANSWER: Shape = { 'serverId?': 'string', 'firstTokenMs?': 'number', 'laterInMs?': 'number' };

const readEnterAnswer = (answer: unknown): EnterAnswer | undefined => readVariant<EnterAnswer>(answer, ENTER_ANSWERS);

const readPlaceAnswer = (answer: unknown): PlaceAnswer | undefined =>
  matchesShape(answer, PLACE_ANSWER) ? (answer as PlaceAnswer) : undefined;

/** A call to the scheduler of a region. */
interface SchedulerCall<Answer> {
  readonly method: string;
  readonly request: object;
  readonly limitMs: number;
  /** Reads the answer; undefined when it is none. */
  readonly read: (answer: unknown) => Answer | undefined;
}

/** A scheduler in the own region answers in a few milliseconds; requests do not wait for one that hangs. */
const ANSWER_TIMEOUT_MS = 120;
const REMOTE_ANSWER_TIMEOUT_MS = 250;

/** An open request that was admitted in a region. */
interface ScheduledRequest {
  readonly region: string;
  readonly regions: readonly string[];
  readonly request: Omit<EnterRequest, 'visiting'>;
  readonly deadlineAtMs: number;
  readonly endedStages: number[];
}

class Client implements SchedulerClient {
  private readonly openRequests = new Map<string, ScheduledRequest>();

  /** Last known scheduler host by region. */
  private readonly schedulerHosts = new Map<string, string>();

  constructor(private readonly options: SchedulerClientOptions) {
    options.hosts.onChange(() => this.schedulerHosts.forEach((_, region) => this.findOwner(region)));
  }

  async enter(request: Omit<EnterRequest, 'visiting'>, region = this.options.region): Promise<EntryResult> {
    const { homeRegions } = request;
    const answer = await this.requestEntry(region, { ...request, visiting: region !== this.options.region });
    if (answer?.type !== 'elsewhere') {
      return this.recordEntry(request, Client.toEntryResult(answer, region, homeRegions));
    }
    // A scheduler of an earlier build may name any region; asked again, it decides for its own one.
    const otherRegion = isPermitted(homeRegions, answer.region) ? answer.region : region;
    const nextAnswer = await this.requestEntry(otherRegion, { ...request, visiting: true });
    const servingRegion = nextAnswer === undefined ? region : otherRegion;
    return this.recordEntry(request, Client.toEntryResult(nextAnswer, servingRegion, homeRegions));
  }

  async place(region: string, request: PlaceRequest): Promise<PlaceAnswer> {
    const owner = this.findOwner(region);
    if (owner === undefined) {
      return {};
    }
    if (this.isLocal(owner)) {
      return this.options.local.place(request);
    }
    const limitMs = this.limitAnswerMs(region);
    return (await this.callOwner(owner, { method: PLACE, request, limitMs, read: readPlaceAnswer })) ?? {};
  }

  note(region: string, note: RequestNote): void {
    if (note.type === 'stage-ended') {
      this.openRequests.get(note.requestId)?.endedStages.push(note.stage);
    } else if (note.type === 'left') {
      this.openRequests.delete(note.requestId);
    }
    this.notifyOwner(region, NOTE, note, () => this.options.local.note(note));
  }

  reportPool(report: PoolReport): void {
    this.notifyOwner(this.options.region, REPORT_POOL, report, () => this.options.local.reportPool(report));
  }

  private static toEntryResult(
    answer: EnterAnswer | undefined,
    region: string,
    homeRegions: readonly string[] | undefined,
  ): EntryResult {
    if (answer?.type === 'refused') {
      return answer;
    }
    return answer?.type === 'admitted'
      ? { ...answer, region, regions: answer.regions.map((each) => (isPermitted(homeRegions, each) ? each : region)) }
      : {
          type: 'admitted',
          region,
          tier: 'on-time',
          expectedInMs: undefined,
          answerMs: undefined,
          failureDomain: undefined,
          regions: [],
        };
  }

  private limitAnswerMs(region: string): number {
    return region === this.options.region ? ANSWER_TIMEOUT_MS : REMOTE_ANSWER_TIMEOUT_MS;
  }

  private async requestEntry(region: string, request: EnterRequest): Promise<EnterAnswer | undefined> {
    const owner = this.findOwner(region);
    if (owner === undefined) {
      return undefined;
    }
    const limitMs = this.limitAnswerMs(region);
    return this.isLocal(owner)
      ? this.options.local.enter(request)
      : this.callOwner(owner, { method: ENTER, request, limitMs, read: readEnterAnswer });
  }

  private recordEntry(request: Omit<EnterRequest, 'visiting'>, entry: EntryResult): EntryResult {
    if (entry.type === 'admitted') {
      const deadlineAtMs = this.options.clock.monotonicMs() + request.deadlineInMs;
      const { region, regions } = entry;
      this.openRequests.set(request.requestId, { region, regions, request, deadlineAtMs, endedStages: [] });
    }
    return entry;
  }

  private findOwner(region: string): HostEntry | undefined {
    const owner = this.options.hosts.rankOwners(SCHEDULER_DUTY, region)[0];
    const known = this.schedulerHosts.get(region);
    if (owner !== undefined && owner.hostId !== known) {
      this.schedulerHosts.set(region, owner.hostId);
      if (known !== undefined) {
        this.reopen(region, owner);
      }
    }
    return owner;
  }

  /** Sends the open requests of this host to a new scheduler. */
  private reopen(region: string, owner: HostEntry): void {
    const nowMs = this.options.clock.monotonicMs();
    const open = [...this.openRequests.values()]
      .filter((scheduled) => scheduled.region === region)
      .map(({ request, regions, deadlineAtMs, endedStages }): OpenRequest => {
        const { requestId, value, stages } = request;
        return { requestId, value, stages, regions, endedStages, deadlineInMs: deadlineAtMs - nowMs };
      });
    if (open.length === 0) {
      return;
    }
    if (this.isLocal(owner)) {
      this.options.local.reopen(open);
    } else {
      // If it fails, the new scheduler knows only the requests that arrive later.
      this.options.links.call(owner.target, REOPEN, open).catch(() => undefined);
    }
  }

  private isLocal(owner: HostEntry): boolean {
    return owner.hostId === this.options.hosts.self.hostId;
  }

  private notifyOwner(region: string, method: string, message: object, local: () => void): void {
    const owner = this.findOwner(region);
    if (owner === undefined) {
      return;
    }
    if (this.isLocal(owner)) {
      local();
    } else {
      this.options.links.notify(owner.target, method, message);
    }
  }

  /** Calls a host. Undefined when it gives no answer in time; other hosts are asked then for a while. */
  private callOwner<Answer>(
    owner: HostEntry,
    { method, request, limitMs, read }: SchedulerCall<Answer>,
  ): Promise<Answer | undefined> {
    const { clock, hosts, links, logger } = this.options;
    return new Promise((resolve) => {
      let hasFailed = false;
      const fail = (): void => {
        if (!hasFailed) {
          hasFailed = true;
          hosts.noteSilent(owner.hostId);
          logger.event('schedulerLost', { peer: owner.hostId, method });
          resolve(undefined);
        }
      };
      const timer = scheduleSilence(clock, limitMs, fail);
      links
        .call(owner.target, method, request)
        .then(read)
        .then((answer) => (answer === undefined ? fail() : resolve(answer)), fail)
        .finally(() => timer.close());
    });
  }
}

/**
 * Creates the client of the region schedulers.
 *
 * @param options - host registry, links to other hosts, and the scheduler of this host
 * @returns the client
 */
export default function createSchedulerClient(options: SchedulerClientOptions): SchedulerClient {
  return new Client(options);
}
