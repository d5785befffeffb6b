import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
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

/** Answer to a request that wants to begin. */
export type Entry =
  | {
      readonly type: 'admitted';
      /** Region whose servers serve the request. */
      readonly region: string;
      readonly tier: 'on-time' | 'late';
      /** Expected time from entry to the begin of the answer; undefined without an answer of the scheduler. */
      readonly expectedInMs: number | undefined;
      readonly answerMs: number | undefined;
      readonly failureDomain: string | undefined;
      /** Region by stage; the region of the request where it is undefined. */
      readonly regions: readonly string[];
    }
  | { readonly type: 'refused'; readonly retryAfterMs: number };

/** Asks the schedulers of the regions, wherever they are. */
export interface SchedulerClient {
  /** Without an answer in time the request begins in the own region. */
  enter(request: Omit<EnterRequest, 'visiting'>): Promise<Entry>;
  /** Names no engine when the scheduler does not answer or knows none. */
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

/** A scheduler in the own region answers in a few ms; a request does not wait for one that is frozen. */
const ANSWER_LIMIT_MS = 120;
const FAR_ANSWER_LIMIT_MS = 250;

/** A request in the schedule of a region. */
interface Scheduled {
  readonly region: string;
  readonly regions: readonly string[];
  readonly request: Omit<EnterRequest, 'visiting'>;
  readonly deadlineAtMs: number;
  readonly endedStages: number[];
}

class Client implements SchedulerClient {
  private readonly scheduled = new Map<string, Scheduled>();

  /** Host that was the scheduler of a region when it was last asked. */
  private readonly knownOwners = new Map<string, string>();

  constructor(private readonly options: SchedulerClientOptions) {
    options.hosts.onChange(() => this.knownOwners.forEach((_, region) => this.findOwner(region)));
  }

  async enter(request: Omit<EnterRequest, 'visiting'>): Promise<Entry> {
    const { region } = this.options;
    const answer = await this.askEntry(region, { ...request, visiting: false }, ANSWER_LIMIT_MS);
    if (answer?.type !== 'elsewhere') {
      return this.keep(request, Client.toEntry(answer, region));
    }
    const far = await this.askEntry(answer.region, { ...request, visiting: true }, FAR_ANSWER_LIMIT_MS);
    return this.keep(request, Client.toEntry(far, far === undefined ? region : answer.region));
  }

  async place(region: string, request: PlaceRequest): Promise<PlaceAnswer> {
    const owner = this.findOwner(region);
    if (owner === undefined) {
      return {};
    }
    if (this.isLocal(owner)) {
      return this.options.local.place(request);
    }
    const limitMs = region === this.options.region ? ANSWER_LIMIT_MS : FAR_ANSWER_LIMIT_MS;
    return ((await this.ask(owner, PLACE, request, limitMs)) as PlaceAnswer | undefined) ?? {};
  }

  note(region: string, note: RequestNote): void {
    if (note.type === 'stage-ended') {
      this.scheduled.get(note.requestId)?.endedStages.push(note.stage);
    } else if (note.type === 'left') {
      this.scheduled.delete(note.requestId);
    }
    this.tell(region, NOTE, note, () => this.options.local.note(note));
  }

  reportPool(report: PoolReport): void {
    this.tell(this.options.region, REPORT_POOL, report, () => this.options.local.reportPool(report));
  }

  private static toEntry(answer: EnterAnswer | undefined, region: string): Entry {
    if (answer?.type === 'refused') {
      return answer;
    }
    return answer?.type === 'admitted'
      ? { ...answer, region }
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

  private async askEntry(region: string, request: EnterRequest, limitMs: number): Promise<EnterAnswer | undefined> {
    const owner = this.findOwner(region);
    if (owner === undefined) {
      return undefined;
    }
    return this.isLocal(owner)
      ? this.options.local.enter(request)
      : ((await this.ask(owner, ENTER, request, limitMs)) as EnterAnswer | undefined);
  }

  private keep(request: Omit<EnterRequest, 'visiting'>, entry: Entry): Entry {
    if (entry.type === 'admitted') {
      const deadlineAtMs = this.options.clock.monotonicMs() + request.deadlineInMs;
      const { region, regions } = entry;
      this.scheduled.set(request.requestId, { region, regions, request, deadlineAtMs, endedStages: [] });
    }
    return entry;
  }

  private findOwner(region: string): HostEntry | undefined {
    const owner = this.options.hosts.rankOwners(SCHEDULER_DUTY, region)[0];
    const known = this.knownOwners.get(region);
    if (owner !== undefined && owner.hostId !== known) {
      this.knownOwners.set(region, owner.hostId);
      if (known !== undefined) {
        this.reopen(region, owner);
      }
    }
    return owner;
  }

  /** Tells a new scheduler what this host has open. */
  private reopen(region: string, owner: HostEntry): void {
    const nowMs = this.options.clock.monotonicMs();
    const open = [...this.scheduled.values()]
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
      // Without it the new scheduler knows only the requests that come later.
      this.options.links.call(owner.target, REOPEN, open).catch(() => undefined);
    }
  }

  private isLocal(owner: HostEntry): boolean {
    return owner.hostId === this.options.hosts.self.hostId;
  }

  private tell(region: string, method: string, message: object, local: () => void): void {
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

  /** Undefined when the host does not answer in time; others are asked for a while. */
  private ask(owner: HostEntry, method: string, request: object, limitMs: number): Promise<unknown> {
    const { clock, hosts, links, logger } = this.options;
    return new Promise((resolve) => {
      let isLost = false;
      const fail = (): void => {
        if (!isLost) {
          isLost = true;
          hosts.noteSilent(owner.hostId);
          logger.event('schedulerLost', { peer: owner.hostId, method });
          resolve(undefined);
        }
      };
      const timer = clock.schedule(limitMs, fail);
      links
        .call(owner.target, method, request)
        .then(resolve, fail)
        .finally(() => timer.close());
    });
  }
}

/**
 * Creates the client of the region schedulers.
 *
 * @param options - hosts and links to them
 * @returns the client
 */
export default function createSchedulerClient(options: SchedulerClientOptions): SchedulerClient {
  return new Client(options);
}
