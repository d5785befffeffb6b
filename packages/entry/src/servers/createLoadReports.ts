import type { Observable, Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import {
  createLoadSchedule,
  hashServerId,
  indexServers,
  readReceiveDelay,
  type LoadHost,
  type LoadReport,
  type LoadSchedule,
  type ServerDescription,
} from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { Membership, PeerNews } from '@bergamotcove/membership';
import type { ServerLoad } from '@bergamotcove/backends';
import {
  decodeLoadSummary,
  encodeLoadSummary,
  LOAD_EXCHANGE,
  LOAD_SUMMARY,
  MAX_LOAD_ENTRIES,
  ProtocolError,
  type LoadEntry,
} from '@bergamotcove/protocol';
import createLoadPoll, { type LoadPoll } from './createLoadPoll.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** Part of the membership that carries summaries. */
export interface SummaryLink extends Pick<Membership, 'broadcastSummary' | 'sendSummary'> {
  readonly news: Observable<PeerNews>;
}

/** Options of {@link createLoadReports}. */
export interface LoadReportsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly self: LoadHost;
  readonly directory: Pick<ServerDirectory, 'listServers' | 'lastSentMs' | 'noteReport'>;
  /** Live entry hosts, this one included. */
  readonly liveHosts: () => readonly LoadHost[];
  /** The membership; undefined before it has started. */
  readonly link: () => SummaryLink | undefined;
  /** Reads the load report of a server; undefined when the server has no such endpoint. */
  readonly fetchLoad: (server: ServerDescription) => Promise<ServerLoad | undefined>;
  /** Called after reports arrived. */
  readonly onReports: () => void;
}

/** Collects the load reports of some servers for the failure domain and takes those of the others from peers. */
export interface LoadReports {
  start(): void;
  close(): void;
}

/** Longest interval of the checks; a silent collector must be noticed within half of the shortest interval of reports. */
const TICK_MS = 100;

/** Wait for the answers to polls before the summary leaves; a server that hangs does not hold back the others. */
const ANSWER_WAIT_MS = 100;

/** A pool that got no attempt for this long is not in use; its servers are not polled in place of their collector. */
const USE_MS = 30_000;

type SummaryHeard = Extract<PeerNews, { type: 'summary-heard' }>;
type ReportsById = ReadonlyMap<string, LoadReport>;

class Reports implements LoadReports {
  private readonly schedule: LoadSchedule;

  private readonly poll: LoadPoll;

  /** Reports of other failure domains that the next summary forwards. */
  private readonly forwards = new Map<string, LoadReport>();

  private servers: readonly ServerDescription[] = [];

  private byId: ReadonlyMap<string, ServerDescription> = new Map();

  private byHash: ReadonlyMap<number, string> = new Map();

  private timer: Timer | undefined;

  private subscription: Subscription | undefined;

  private lastTickMs: number;

  /** Pause that ended just before the last tick; datagrams of the pause may be read only now. */
  private pausedMs = 0;

  private closed = false;

  constructor(private readonly options: LoadReportsOptions) {
    this.schedule = createLoadSchedule(options.random);
    this.poll = createLoadPoll(options);
    this.lastTickMs = options.clock.monotonicMs();
  }

  start(): void {
    this.tick();
    if (!this.closed) {
      const { clock } = this.options;
      const delayMs = Math.min(TICK_MS, this.schedule.untilRoundMs(clock.monotonicMs()));
      this.timer = clock.schedule(delayMs, () => this.start());
    }
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
    this.subscription?.unsubscribe();
  }

  private tick(): void {
    const { clock, link } = this.options;
    const nowMs = clock.monotonicMs();
    this.pausedMs = readReceiveDelay(nowMs - this.lastTickMs);
    this.lastTickMs = nowMs;
    this.subscription ??= link()?.news.subscribe((item) => this.receive(item));
    this.refresh(nowMs);
    const { round, alone } = this.schedule.tick(nowMs, (serverId) => this.isWanted(serverId, nowMs));
    if (round !== undefined) {
      const isOwn = (serverId: string): boolean =>
        this.byId.get(serverId)?.failureDomain === this.options.self.failureDomain;
      // Servers of a lost failure domain mostly hang; they have a summary of their own.
      const lost = round.filter((serverId) => !isOwn(serverId));
      this.runRound(round.filter(isOwn)).catch(() => undefined);
      if (lost.length > 0) {
        this.runRound(lost).catch(() => undefined);
      }
    }
    if (alone.length > 0) {
      this.pollAll(alone).catch(() => undefined);
    }
  }

  private refresh(nowMs: number): void {
    const { self, directory, liveHosts } = this.options;
    const servers = directory.listServers();
    if (servers !== this.servers) {
      this.servers = servers;
      this.byId = new Map(servers.map((server) => [server.serverId, server]));
      this.byHash = indexServers([...this.byId.keys()]);
    }
    this.schedule.assign({ self, hosts: liveHosts(), servers }, nowMs);
  }

  private isWanted(serverId: string, nowMs: number): boolean {
    const sentMs = this.options.directory.lastSentMs(serverId) ?? -Infinity;
    return nowMs - sentMs < USE_MS && this.poll.mayPoll(serverId);
  }

  /** Polls the servers of this host and sends their reports; late answers follow in a summary of their own. */
  private async runRound(serverIds: readonly string[]): Promise<void> {
    const reports = new Map<string, LoadReport>();
    const send = (): void => {
      this.send(new Map(reports));
      reports.clear();
    };
    const timer = this.options.clock.schedule(ANSWER_WAIT_MS, send);
    await this.pollAll(serverIds, reports);
    timer.close();
    send();
  }

  /** Sends own reports to both circles of hosts, and those that wait to be forwarded to the failure domain. */
  private send(own: ReportsById): void {
    const link = this.options.link();
    if (this.closed || link === undefined) {
      return;
    }
    const all = new Map([...own, ...this.forwards]);
    this.forwards.clear();
    this.format(all).forEach((payload) => link.broadcastSummary(LOAD_SUMMARY, payload));
    const { representatives } = this.schedule.assignment();
    this.format(own).forEach((payload) => link.sendSummary(LOAD_EXCHANGE, payload, representatives));
  }

  private async pollAll(serverIds: readonly string[], reports = new Map<string, LoadReport>()): Promise<void> {
    const servers = serverIds.flatMap((serverId) => this.byId.get(serverId) ?? []);
    await Promise.all(
      servers.map(async (server) => {
        const report = await this.poll.poll(server);
        if (report !== undefined && this.note(server.serverId, report)) {
          reports.set(server.serverId, report);
          this.announce(1);
        }
      }),
    );
  }

  /** Payloads of summaries, each of which fits into one datagram. */
  private format(reports: ReportsById): readonly Uint8Array[] {
    const nowMs = this.options.clock.monotonicMs();
    const entries: readonly LoadEntry[] = [...reports].map(([serverId, report]) => ({
      serverHash: hashServerId(serverId),
      running: report.running,
      queued: report.queued,
      tokensPerSecond: report.tokensPerSecond,
      ageMs: nowMs - report.reportedAtMs,
    }));
    return Array.from({ length: Math.ceil(entries.length / MAX_LOAD_ENTRIES) }, (_, index) =>
      encodeLoadSummary(entries.slice(index * MAX_LOAD_ENTRIES, (index + 1) * MAX_LOAD_ENTRIES)),
    );
  }

  private receive(item: PeerNews): void {
    if (item.type !== 'summary-heard' || (item.topic !== LOAD_SUMMARY && item.topic !== LOAD_EXCHANGE)) {
      return;
    }
    try {
      this.apply(item, decodeLoadSummary(item.payload));
    } catch (cause) {
      if (!(cause instanceof ProtocolError)) {
        throw cause;
      }
      this.options.logger.event('peerMessageInvalid', { error: cause.message });
    }
  }

  private apply(item: SummaryHeard, entries: readonly LoadEntry[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const waitedMs = Math.max(this.pausedMs, readReceiveDelay(nowMs - this.lastTickMs));
    const counted = entries.filter(({ serverHash, running, queued, tokensPerSecond, ageMs }) => {
      const serverId = this.byHash.get(serverHash);
      if (serverId === undefined) {
        return false;
      }
      const report = { running, queued, tokensPerSecond, reportedAtMs: nowMs - ageMs - waitedMs };
      // A report that an own poll has overtaken still shows that the collector works.
      this.schedule.noteHeard(serverId, nowMs - waitedMs);
      if (item.topic === LOAD_EXCHANGE) {
        this.forward(serverId, report);
      }
      return this.note(serverId, report);
    });
    this.announce(counted.length);
  }

  private forward(serverId: string, report: LoadReport): void {
    const known = this.forwards.get(serverId);
    if (known === undefined || known.reportedAtMs <= report.reportedAtMs) {
      this.forwards.set(serverId, report);
    }
  }

  private note(serverId: string, report: LoadReport): boolean {
    const { directory, liveHosts } = this.options;
    return directory.noteReport(serverId, report, liveHosts().length);
  }

  private announce(count: number): void {
    if (count > 0 && !this.closed) {
      this.options.onReports();
    }
  }
}

/**
 * Creates the load reports of this host. Each server is polled by one host of its failure domain, which sends what it
 * read to the others; a host polls servers of pools that it uses for itself when the summaries stay away.
 *
 * @param options - clock, peers, servers and the way to them
 * @returns the load reports; they run from `start` to `close`
 * @example
 * const reports = createLoadReports({ ...parts, link: () => control.membership() });
 * reports.start();
 */
export default function createLoadReports(options: LoadReportsOptions): LoadReports {
  return new Reports(options);
}
