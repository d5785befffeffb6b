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
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import createServerBackoffs, { type ServerBackoffs } from '../catalogue/createServerBackoffs.js';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import type { RateLimitNotice } from '../ports.js';
import createLimitAnnouncer, { type LimitAnnouncer } from './createLimitAnnouncer.js';
import createLimitDuty, { type LimitDuty } from './createLimitDuty.js';
import createOwnerCalls, { type OwnerCalls } from './createOwnerCalls.js';
import createLimitTable, {
  OWN_ANSWER,
  type KnownLimit,
  type LimitChange,
  type LimitTable,
} from './createLimitTable.js';
import { keepOpen, listLimits, NO_PACES } from './paceHelpers.js';
import type { PacedServer, PaceTable } from './createPaceTable.js';
import type { ObservedEnd } from './classifyPace.js';
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
  /**
   * Whether a request may be sent to a server now. One that started or recovered gets only requests with a recent
   * permission; `permittedAtMs` is the monotonic time before it was asked for, undefined without one.
   */
  maySend(serverId: string, permittedAtMs: number | undefined): boolean;
  /** Records how a request to a server ended. */
  noteEnd: PaceTable['noteEnd'];
  /** Servers that are held to a pace because they started or recovered. */
  listPaced: PaceTable['list'];
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
  /** Servers that started or recovered; undefined when no pool has a cold start. */
  readonly paces?: PaceTable;
}

/** Time until a server is asked for again when no host has decided. */
const UNDECIDED_MS = 200;
/** Interval at which a statement that changes nothing is reported again, so that the limit does not expire. */
const REPORT_INTERVAL_MS = 1_000;
/** An end is announced when the limit has not begun again within this time. */
const END_DELAY_MS = 2_000;

class Limits implements RateLimits {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private readonly table: LimitTable;

  private readonly paces: PaceTable;

  private readonly duty: LimitDuty;

  private readonly owners: OwnerCalls;

  private readonly announcer: LimitAnnouncer;

  private readonly limiter: SendLimiter = createSendLimiter();

  /** Servers for which this host was told to ask later. */
  private readonly denials: ServerBackoffs;

  /** Monotonic time of the last report, by server. */
  private readonly reportedAtMs = new Map<string, number>();

  private readonly listeners: (() => void)[] = [];

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: RateLimitsOptions) {
    this.paces = options.paces ?? NO_PACES;
    this.table = createLimitTable(options);
    this.duty = createLimitDuty({ ...options, isPaced: (serverId) => this.paces.rateOf(serverId) !== undefined });
    this.owners = createOwnerCalls({ ...options, duty: this.duty, paces: this.paces });
    this.announcer = createLimitAnnouncer({ ...options, table: this.table, isOwn: (id) => this.duty.isOwn(id) });
    this.denials = createServerBackoffs(options.clock, () => this.notify());
    this.table.onChange((change) => this.handleChange(change));
    this.paces.onChange(() => this.notify());
    this.paces.onSeen((serverId) => this.reportSeen(serverId));
    this.paces.onRestart(
      (serverId) => this.duty.isOwn(serverId) && this.owners.announce(this.paces.describe([serverId])),
    );
    const learn: LinkMethod = (params) => {
      const { hostId, notices, paces = [] } = params as LimitAnnouncement;
      this.paces.learn(paces, hostId);
      this.table.learn(notices, hostId);
      return true;
    };
    this.methods = {
      [TAKE_SEND]: (params) => this.answerTake(params as TakeRequest),
      [REPORT_LIMIT]: learn,
      [OPERATOR_LIST_LIMITS]: () => this.listForOperators(),
      [ANNOUNCE_LIMITS]: learn,
    };
  }

  list(): readonly KnownLimit[] {
    return this.table.list();
  }

  isLimited(serverId: string): boolean {
    return this.rateOf(serverId) !== undefined;
  }

  closedUntilMs(serverId: string): number {
    if (!this.isLimited(serverId)) {
      return -Infinity;
    }
    const nextMs = this.isOwned(serverId) ? this.nextSendAtMs(serverId) : -Infinity;
    return Math.max(nextMs, this.denials.endMs(serverId), this.paces.closedUntilMs(serverId));
  }

  readIntervalMs(serverId: string): number | undefined {
    const rate = this.rateOf(serverId);
    return rate === undefined ? undefined : toIntervalMs(rate);
  }

  isOwned(serverId: string): boolean {
    return this.isLimited(serverId) && this.duty.isOwn(serverId);
  }

  takeOwned(need: SendNeed): SendDecision {
    const open = keepOpen(need, this.paces, this.options);
    if ('type' in open) {
      return open;
    }
    need.serverIds.forEach((serverId) => this.syncLimiter(serverId));
    const decision = this.limiter.take(open, this.options.clock.monotonicMs());
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
    const open = keepOpen(need, this.paces, this.options);
    if ('type' in open) {
      return open;
    }
    const owner = this.duty.findOwner(open.serverIds[0] ?? '');
    const serverIds = open.serverIds.filter((serverId) => this.duty.findOwner(serverId)?.hostId === owner?.hostId);
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

  maySend(serverId: string, permittedAtMs: number | undefined): boolean {
    return this.paces.maySend(serverId, permittedAtMs);
  }

  noteEnd(serverId: string, end: ObservedEnd): void {
    this.paces.noteEnd(serverId, end);
  }

  listPaced(): readonly PacedServer[] {
    return this.paces.list();
  }

  onChange(run: () => void): void {
    this.listeners.push(run);
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    this.duty.start(hosts);
    this.owners.start(hosts);
    this.announcer.start(hosts);
  }

  close(): void {
    this.announcer.close();
    this.denials.close();
  }

  private listForOperators(): readonly OperatorLimit[] {
    const limits = listLimits(this.list(), this.paces.list(), this.options.clock.monotonicMs());
    return limits.map((limit) => ({
      ...limit,
      handsOut: this.isOwned(limit.serverId),
      sends: this.limiter.countSends(limit.serverId),
    }));
  }

  private async decide(need: SendNeed, owner: HostEntry | undefined): Promise<SendDecision> {
    if (owner !== undefined && owner.hostId === this.hosts?.self.hostId) {
      return this.takeOwned(need);
    }
    const asked = { need, known: this.table.describe(need.serverIds), paces: this.paces.describe(need.serverIds) };
    const answer = owner === undefined ? undefined : await this.owners.ask(owner, asked);
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
  private async answerTake({
    need,
    known,
    forwarded = false,
    paces = [],
    askedBy = '',
  }: TakeRequest): Promise<TakeAnswer> {
    this.table.learn(known, 'another host');
    this.paces.learn(paces, askedBy);
    const [serverId = ''] = need.serverIds;
    if (!this.duty.isOwn(serverId)) {
      const owner = this.duty.findOwner(serverId);
      const answer =
        forwarded || owner === undefined
          ? undefined
          : await this.owners.ask(owner, { need, known, forwarded: true, paces, askedBy });
      if (answer !== undefined || !this.duty.isOwn(serverId)) {
        return answer ?? { type: 'not-owner' };
      }
    }
    const free = need.serverIds.find((each) => !this.isLimited(each));
    const decision: SendDecision = free === undefined ? this.takeOwned(need) : { type: 'granted', serverId: free };
    const notices = this.table.describe(need.serverIds);
    return decision.type === 'granted'
      ? { ...decision, notices, ...(paces.length === 0 ? {} : { paced: true }) }
      : { type: 'later', inMs: Math.max(0, decision.atMs - this.options.clock.monotonicMs()), notices };
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
      this.owners.noteFailed(owner, cause);
    });
  }

  /** Tells the host that hands out the sends what this host has seen of a server that started or recovered. */
  private reportSeen(serverId: string): void {
    const owner = this.duty.isOwn(serverId) ? undefined : this.duty.findOwner(serverId);
    if (owner !== undefined) {
      this.owners.report(owner, this.paces.describe([serverId]));
    }
  }

  /** The rate limit of a server: the one that it states, or its pace if that is less. */
  private rateOf(serverId: string): number | undefined {
    const { requestsPerSecond = Infinity } = this.table.find(serverId) ?? {};
    const rate = Math.min(requestsPerSecond, this.paces.rateOf(serverId) ?? Infinity);
    return rate === Infinity ? undefined : rate;
  }

  private nextSendAtMs(serverId: string): number {
    this.syncLimiter(serverId);
    return this.limiter.nextSendAtMs(serverId, this.options.clock.monotonicMs());
  }

  /** Brings the limiter in line with the table. A host that begins to hand out the sends begins without saved ones. */
  private syncLimiter(serverId: string): void {
    const rate = this.rateOf(serverId);
    if (rate !== undefined && this.duty.isOwn(serverId)) {
      this.limiter.setLimit(serverId, rate, this.options.clock.monotonicMs());
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
