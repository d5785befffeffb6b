import type { Clock } from '@bergamotcove/clock';
import {
  createSendLimiter,
  toIntervalMs,
  type SendDecision,
  type SendLimiter,
  type SendNeed,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import { OPERATOR_LIST_LIMITS, type OperatorLimit } from '@bergamotcove/protocol';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import { TransportError, type LinkClient, type LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import createServerBackoffs, { type ServerBackoffs } from '../catalogue/createServerBackoffs.js';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import scheduleSilence from '../hosts/scheduleSilence.js';
import type { RateLimitNotice } from '../ports.js';
import createLimitAnnouncer, { type LimitAnnouncer } from './createLimitAnnouncer.js';
import createLimitDuty, { type LimitDuty } from './createLimitDuty.js';
import createLimitTable, {
  OWN_ANSWER,
  type KnownLimit,
  type LimitChange,
  type LimitTable,
} from './createLimitTable.js';
import {
  ANNOUNCE_LIMITS,
  REPORT_LIMIT,
  TAKE_SEND,
  type LimitAnnouncement,
  type LimitNotice,
  type TakeAnswer,
  type TakeRequest,
} from './messages.js';

/** Keeps the sends of all hosts to servers within the rate limits that the servers have stated. */
export interface RateLimits {
  /** Limits that this host knows. */
  list(): readonly KnownLimit[];
  isLimited(serverId: string): boolean;
  /** Time before which this host must not ask for a send to a server, monotonic; -Infinity without one. */
  closedUntilMs(serverId: string): number;
  /** Least time between two requests to a server; undefined without a limit. */
  readIntervalMs(serverId: string): number | undefined;
  /** Whether {@link takeOwned} decides about a server: it has a limit, and this host hands out its sends. */
  isOwned(serverId: string): boolean;
  /** Takes one send at servers whose sends this host hands out. */
  takeOwned(need: SendNeed): SendDecision;
  /**
   * Predicts when a request would get its turn at servers whose sends this host hands out, behind those that wait and a
   * number of others.
   */
  predictTurnMs(need: Pick<SendNeed, 'queue' | 'serverIds'>, others: number): number;
  /** Asks for one send at servers with limits; a server without one is granted. Never rejects. */
  take(need: SendNeed): Promise<SendDecision>;
  /** Records what an answer says about the limit of its server, and when the answered request was sent. */
  noteAnswer(serverId: string, notice: RateLimitNotice, sentAtMs: number): void;
  /** Calls a listener when a limit begins, changes or ends, and when this host may ask for a server again. */
  onChange(run: () => void): void;
  /** Methods that other hosts call. */
  readonly methods: Readonly<Record<string, LinkMethod>>;
  start(hosts: HostRegistry): void;
  close(): void;
}

/** Options of {@link createRateLimits}. */
export interface RateLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly links: LinkClient;
  readonly directory: Pick<BackendDirectory, 'find' | 'onProcessEnded'>;
  readonly region: string;
  /** Duty of the host that sends most of the requests of a pool. */
  readonly dutyOf: (pool: string) => string;
}

/** Time limits for the answer of the host that hands out sends; the request is sent elsewhere after that. */
const ANSWER_TIMEOUT_MS = 120;
const REMOTE_ANSWER_TIMEOUT_MS = 250;
/** Time until a server is asked for again when no host has decided. */
const UNDECIDED_MS = 200;
/** Interval at which a statement that changes nothing is reported again, so that the limit does not expire. */
const REPORT_INTERVAL_MS = 1_000;
/** An end is announced when the limit has not begun again within this time. */
const END_DELAY_MS = 2_000;

class Limits implements RateLimits {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private readonly table: LimitTable;

  private readonly duty: LimitDuty;

  private readonly announcer: LimitAnnouncer;

  private readonly limiter: SendLimiter = createSendLimiter();

  /** Servers for which this host was told to ask later. */
  private readonly denials: ServerBackoffs;

  /** Monotonic time of the last report, by server. */
  private readonly reportedAtMs = new Map<string, number>();

  private readonly listeners: (() => void)[] = [];

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: RateLimitsOptions) {
    this.table = createLimitTable(options);
    this.duty = createLimitDuty(options);
    this.announcer = createLimitAnnouncer({
      ...options,
      table: this.table,
      isOwn: (serverId) => this.duty.isOwn(serverId),
    });
    this.denials = createServerBackoffs(options.clock, () => this.notify());
    this.table.onChange((change) => this.handleChange(change));
    this.methods = {
      [TAKE_SEND]: (params) => this.answerTake(params as TakeRequest),
      [REPORT_LIMIT]: (params) => {
        const { hostId, notices } = params as LimitAnnouncement;
        this.table.learn(notices, hostId);
        return true;
      },
      [OPERATOR_LIST_LIMITS]: () => this.listForOperators(),
      [ANNOUNCE_LIMITS]: (params) => {
        const { hostId, notices } = params as LimitAnnouncement;
        this.table.learn(notices, hostId);
        return true;
      },
    };
  }

  list(): readonly KnownLimit[] {
    return this.table.list();
  }

  isLimited(serverId: string): boolean {
    return this.table.find(serverId) !== undefined;
  }

  closedUntilMs(serverId: string): number {
    if (!this.isLimited(serverId)) {
      return -Infinity;
    }
    const nextMs = this.isOwned(serverId) ? this.nextSendAtMs(serverId) : -Infinity;
    return Math.max(nextMs, this.denials.endMs(serverId));
  }

  readIntervalMs(serverId: string): number | undefined {
    const limit = this.table.find(serverId);
    return limit === undefined ? undefined : toIntervalMs(limit.requestsPerSecond);
  }

  isOwned(serverId: string): boolean {
    return this.isLimited(serverId) && this.duty.isOwn(serverId);
  }

  takeOwned(need: SendNeed): SendDecision {
    need.serverIds.forEach((serverId) => this.syncLimiter(serverId));
    const decision = this.limiter.take(need, this.options.clock.monotonicMs());
    this.options.metrics.report('limit.sends', 1, { pool: need.queue, result: decision.type });
    return decision;
  }

  predictTurnMs(need: Pick<SendNeed, 'queue' | 'serverIds'>, others: number): number {
    need.serverIds.forEach((serverId) => this.syncLimiter(serverId));
    return this.limiter.predictTurnMs(need, others, this.options.clock.monotonicMs());
  }

  async take(need: SendNeed): Promise<SendDecision> {
    const free = need.serverIds.find((serverId) => !this.isLimited(serverId));
    if (free !== undefined) {
      return { type: 'granted', serverId: free };
    }
    const owner = this.duty.findOwner(need.serverIds[0] ?? '');
    const serverIds = need.serverIds.filter((serverId) => this.duty.findOwner(serverId)?.hostId === owner?.hostId);
    const decision = await this.decide({ ...need, serverIds }, owner);
    const nowMs = this.options.clock.monotonicMs();
    if (decision.type === 'later' && need.maxWaitMs === undefined) {
      serverIds.forEach((serverId) => this.denials.add(serverId, decision.atMs - nowMs));
    }
    return decision;
  }

  noteAnswer(serverId: string, notice: RateLimitNotice, sentAtMs: number): void {
    const { clock, directory } = this.options;
    const server = directory.find(serverId);
    if (server === undefined || notice.type === 'invalid') {
      return;
    }
    const { startedAtMs } = server;
    const statement =
      notice.type === 'stated'
        ? { requestsPerSecond: notice.requestsPerSecond, startedAtMs, atMs: clock.monotonicMs() }
        : { requestsPerSecond: undefined, startedAtMs, atMs: sentAtMs };
    this.table.note(server, statement, OWN_ANSWER);
  }

  onChange(run: () => void): void {
    this.listeners.push(run);
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    this.duty.start(hosts);
    this.announcer.start(hosts);
  }

  close(): void {
    this.announcer.close();
    this.denials.close();
  }

  private listForOperators(): readonly OperatorLimit[] {
    const nowMs = this.options.clock.monotonicMs();
    return this.list().map(({ serverId, pool, requestsPerSecond, sinceMs, statedAtMs, learntFrom }) => ({
      serverId,
      pool,
      requestsPerSecond,
      sinceMs: nowMs - sinceMs,
      statedAgoMs: nowMs - statedAtMs,
      learntFrom,
      handsOut: this.isOwned(serverId),
      sends: this.limiter.countSends(serverId),
    }));
  }

  private async decide(need: SendNeed, owner: HostEntry | undefined): Promise<SendDecision> {
    if (owner !== undefined && owner.hostId === this.hosts?.self.hostId) {
      return this.takeOwned(need);
    }
    const answer =
      owner === undefined ? undefined : await this.ask(owner, { need, known: this.table.describe(need.serverIds) });
    const nowMs = this.options.clock.monotonicMs();
    if (answer === undefined || answer.type === 'not-owner') {
      return { type: 'later', atMs: nowMs + UNDECIDED_MS };
    }
    this.table.learn(answer.notices, owner?.hostId ?? '');
    return answer.type === 'granted'
      ? { type: 'granted', serverId: answer.serverId }
      : { type: 'later', atMs: nowMs + answer.inMs };
  }

  /** Answers another host. A request for servers of another owner is passed on once, in case only that host lost it. */
  private async answerTake({ need, known, forwarded = false }: TakeRequest): Promise<TakeAnswer> {
    this.table.learn(known, 'another host');
    const [serverId = ''] = need.serverIds;
    if (!this.duty.isOwn(serverId)) {
      const owner = this.duty.findOwner(serverId);
      const answer =
        forwarded || owner === undefined ? undefined : await this.ask(owner, { need, known, forwarded: true });
      if (answer !== undefined || !this.duty.isOwn(serverId)) {
        return answer ?? { type: 'not-owner' };
      }
    }
    const free = need.serverIds.find((each) => !this.isLimited(each));
    const decision: SendDecision = free === undefined ? this.takeOwned(need) : { type: 'granted', serverId: free };
    const notices = this.table.describe(need.serverIds);
    return decision.type === 'granted'
      ? { ...decision, notices }
      : { type: 'later', inMs: Math.max(0, decision.atMs - this.options.clock.monotonicMs()), notices };
  }

  /** Asks the host that hands out the sends; undefined when it does not answer in time. */
  private ask(owner: HostEntry, request: TakeRequest): Promise<TakeAnswer | undefined> {
    const { clock, links, region } = this.options;
    return new Promise((resolve) => {
      const limitMs = owner.region === region ? ANSWER_TIMEOUT_MS : REMOTE_ANSWER_TIMEOUT_MS;
      const timer = scheduleSilence(clock, limitMs, () => {
        this.hosts?.noteSilent(owner.hostId);
        resolve(undefined);
      });
      links
        .call(owner.target, TAKE_SEND, request)
        .then(
          (answer) => resolve(answer as TakeAnswer),
          (cause: unknown) => {
            this.noteFailed(owner, cause);
            resolve(undefined);
          },
        )
        .finally(() => timer.close());
    });
  }

  private noteFailed(owner: HostEntry, cause: unknown): void {
    if (cause instanceof TransportError && cause.code === 'invalid-message') {
      this.duty.noteUnable(owner);
    } else {
      this.hosts?.noteSilent(owner.hostId);
    }
  }

  private handleChange({ before, after, source }: LimitChange): void {
    const serverId = (after ?? before)?.serverId ?? '';
    this.syncLimiter(serverId);
    if (after === undefined) {
      this.denials.delete(serverId);
    }
    if (this.duty.isOwn(serverId)) {
      this.announceChange(before, after);
    } else if (source === OWN_ANSWER) {
      this.report(serverId, before?.requestsPerSecond !== after?.requestsPerSecond);
    }
    if (before?.requestsPerSecond !== after?.requestsPerSecond) {
      this.notify();
    }
  }

  private announceChange(before: KnownLimit | undefined, after: KnownLimit | undefined): void {
    if (before === undefined) {
      this.announcer.announce();
    } else if (after === undefined) {
      this.options.clock.schedule(END_DELAY_MS, () => {
        if (!this.isLimited(before.serverId)) {
          this.announcer.announce();
        }
      });
    }
  }

  /** Tells the host that hands out the sends what an answer has stated. */
  private report(serverId: string, isNew: boolean): void {
    const { clock, links } = this.options;
    const nowMs = clock.monotonicMs();
    const owner = this.duty.findOwner(serverId);
    const { hosts } = this;
    const isDue = nowMs - (this.reportedAtMs.get(serverId) ?? -Infinity) >= REPORT_INTERVAL_MS;
    if (owner === undefined || hosts === undefined || (!isNew && !isDue)) {
      return;
    }
    this.reportedAtMs.set(serverId, nowMs);
    const notices: readonly LimitNotice[] = this.table.describe([serverId]);
    links.call(owner.target, REPORT_LIMIT, { hostId: hosts.self.hostId, notices }).catch((cause: unknown) => {
      this.reportedAtMs.delete(serverId);
      this.noteFailed(owner, cause);
    });
  }

  private nextSendAtMs(serverId: string): number {
    this.syncLimiter(serverId);
    return this.limiter.nextSendAtMs(serverId, this.options.clock.monotonicMs());
  }

  /** Brings the limiter in line with the table. A host that begins to hand out the sends begins without saved ones. */
  private syncLimiter(serverId: string): void {
    const limit = this.table.find(serverId);
    if (limit !== undefined && this.duty.isOwn(serverId)) {
      this.limiter.setLimit(serverId, limit.requestsPerSecond, this.options.clock.monotonicMs());
    } else {
      this.limiter.remove(serverId);
    }
  }

  private notify(): void {
    this.listeners.forEach((run) => run());
  }
}

/**
 * Creates the rate limits of a host. For each server with a limit one host hands out the sends of all hosts; the others
 * ask it before each send, and send elsewhere what it denies.
 *
 * @param options - server directory, links to other hosts, and the duties by pool
 * @returns the limits; close them to stop their timers
 */
export default function createRateLimits(options: RateLimitsOptions): RateLimits {
  return new Limits(options);
}
