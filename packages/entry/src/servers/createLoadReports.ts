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
import createLoadPoller, { type LoadPoller } from './createLoadPoller.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** Part of the membership that sends and receives load summaries. */
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

/** Collects the load reports of some servers for the failure domain and receives those of the others from peers. */
export interface LoadReports {
  start(): void;
  close(): void;
}

/**
 * Longest interval between ticks; a silent collector must be detected within half of the shortest interval between
 * reports.
 */
const MAX_TICK_INTERVAL_MS = 100;

/** Time to wait for poll answers before the summary is sent; a server that hangs must not delay the others. */
const POLL_ANSWER_WAIT_MS = 100;

/** A pool without attempts for this long is not in use; its servers get no fallback polls when their collector is silent. */
const POOL_USE_WINDOW_MS = 30_000;

type SummaryHeard = Extract<PeerNews, { type: 'summary-heard' }>;
type ReportsById = ReadonlyMap<string, LoadReport>;

class Reports implements LoadReports {
  private readonly schedule: LoadSchedule;

  private readonly poller: LoadPoller;

  /** Reports of other failure domains that the next summary forwards. */
  private readonly pendingForwards = new Map<string, LoadReport>();

  private servers: readonly ServerDescription[] = [];

  private byId: ReadonlyMap<string, ServerDescription> = new Map();

  private byHash: ReadonlyMap<number, string> = new Map();

  private timer: Timer | undefined;

  private subscription: Subscription | undefined;

  private lastTickMs: number;

  /** Process pause that ended just before the last tick; datagrams that arrived during it may be read only now. */
  private pauseMs = 0;

  private closed = false;

  constructor(private readonly options: LoadReportsOptions) {
    this.schedule = createLoadSchedule(options.random);
    this.poller = createLoadPoller(options);
    this.lastTickMs = options.clock.monotonicMs();
  }

  start(): void {
    this.tick();
    if (!this.closed) {
      const { clock } = this.options;
      const delayMs = Math.min(MAX_TICK_INTERVAL_MS, this.schedule.untilRoundMs(clock.monotonicMs()));
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
    this.pauseMs = readReceiveDelay(nowMs - this.lastTickMs);
    this.lastTickMs = nowMs;
    this.subscription ??= link()?.news.subscribe((item) => this.receive(item));
    this.updateAssignment(nowMs);
    const { round, alone } = this.schedule.tick(nowMs, (serverId) => this.shouldPoll(serverId, nowMs));
    if (round !== undefined) {
      const isInOwnDomain = (serverId: string): boolean =>
        this.byId.get(serverId)?.failureDomain === this.options.self.failureDomain;
      // Servers of a lost failure domain mostly hang, so they go into a separate summary.
      const adopted = round.filter((serverId) => !isInOwnDomain(serverId));
      this.runRound(round.filter(isInOwnDomain)).catch(() => undefined);
      if (adopted.length > 0) {
        this.runRound(adopted).catch(() => undefined);
      }
    }
    if (alone.length > 0) {
      this.pollAll(alone).catch(() => undefined);
    }
  }

  private updateAssignment(nowMs: number): void {
    const { self, directory, liveHosts } = this.options;
    const servers = directory.listServers();
    if (servers !== this.servers) {
      this.servers = servers;
      this.byId = new Map(servers.map((server) => [server.serverId, server]));
      this.byHash = indexServers([...this.byId.keys()]);
    }
    this.schedule.assign({ self, hosts: liveHosts(), servers }, nowMs);
  }

  private shouldPoll(serverId: string, nowMs: number): boolean {
    const sentMs = this.options.directory.lastSentMs(serverId) ?? -Infinity;
    return nowMs - sentMs < POOL_USE_WINDOW_MS && this.poller.mayPoll(serverId);
  }

  /** Polls the servers of this host and sends their reports; late answers follow in a separate summary. */
  private async runRound(serverIds: readonly string[]): Promise<void> {
    const reports = new Map<string, LoadReport>();
    const send = (): void => {
      this.sendSummaries(new Map(reports));
      reports.clear();
    };
    const timer = this.options.clock.schedule(POLL_ANSWER_WAIT_MS, send);
    await this.pollAll(serverIds, reports);
    timer.close();
    send();
  }

  /**
   * Sends own reports to the hosts of the failure domain and to the representatives of the others, and pending forwards
   * to the failure domain.
   */
  private sendSummaries(ownReports: ReportsById): void {
    const link = this.options.link();
    if (this.closed || link === undefined) {
      return;
    }
    const all = new Map([...ownReports, ...this.pendingForwards]);
    this.pendingForwards.clear();
    this.encodeSummaries(all).forEach((payload) => link.broadcastSummary(LOAD_SUMMARY, payload));
    const { representatives } = this.schedule.assignment();
    this.encodeSummaries(ownReports).forEach((payload) => link.sendSummary(LOAD_EXCHANGE, payload, representatives));
  }

  private async pollAll(serverIds: readonly string[], reports = new Map<string, LoadReport>()): Promise<void> {
    const servers = serverIds.flatMap((serverId) => this.byId.get(serverId) ?? []);
    await Promise.all(
      servers.map(async (server) => {
        const report = await this.poller.poll(server);
        if (report !== undefined && this.applyReport(server.serverId, report)) {
          reports.set(server.serverId, report);
          this.notifyReports(1);
        }
      }),
    );
  }

  /** Encodes reports as summaries, each of which fits into one datagram. */
  private encodeSummaries(reports: ReportsById): readonly Uint8Array[] {
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
      this.applySummary(item, decodeLoadSummary(item.payload));
    } catch (cause) {
      if (!(cause instanceof ProtocolError)) {
        throw cause;
      }
      this.options.logger.event('peerMessageInvalid', { error: cause.message });
    }
  }

  private applySummary(item: SummaryHeard, entries: readonly LoadEntry[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const waitedMs = Math.max(this.pauseMs, readReceiveDelay(nowMs - this.lastTickMs));
    const applied = entries.filter(({ serverHash, running, queued, tokensPerSecond, ageMs }) => {
      const serverId = this.byHash.get(serverHash);
      if (serverId === undefined) {
        return false;
      }
      const report = { running, queued, tokensPerSecond, reportedAtMs: nowMs - ageMs - waitedMs };
      // A report that is older than one of an own poll still shows that the collector works.
      this.schedule.noteHeard(serverId, nowMs - waitedMs);
      if (item.topic === LOAD_EXCHANGE) {
        this.forward(serverId, report);
      }
      return this.applyReport(serverId, report);
    });
    this.notifyReports(applied.length);
  }

  private forward(serverId: string, report: LoadReport): void {
    const pending = this.pendingForwards.get(serverId);
    if (pending === undefined || pending.reportedAtMs <= report.reportedAtMs) {
      this.pendingForwards.set(serverId, report);
    }
  }

  private applyReport(serverId: string, report: LoadReport): boolean {
    const { directory, liveHosts } = this.options;
    return directory.noteReport(serverId, report, liveHosts().length);
  }

  private notifyReports(count: number): void {
    if (count > 0 && !this.closed) {
      this.options.onReports();
    }
  }
}

/**
 * Creates the load reports of this host. Each server is polled by one host of its failure domain, which sends its report
 * to the others; when summaries are missing, a host itself polls the servers of the pools that it uses.
 *
 * @param options - clock, membership, servers and the call that reads a report
 * @returns the load reports; they run from `start` to `close`
 * @example
 * const reports = createLoadReports({ ...parts, link: () => control.membership() });
 * reports.start();
 */
export default function createLoadReports(options: LoadReportsOptions): LoadReports {
  return new Reports(options);
}
