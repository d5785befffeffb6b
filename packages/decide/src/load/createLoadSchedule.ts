import type { Random } from '../routing/types.js';
import {
  COLLECTOR_LOAD_FACTOR,
  MAX_POLLS_PER_SECOND,
  MIN_LOAD_INTERVAL_MS,
  ROUND_JITTER_SHARE,
  SILENT_INTERVALS,
} from './constants.js';
import loadIntervalMs from './loadIntervalMs.js';
import spreadByRendezvous from './spreadByRendezvous.js';
import type { LoadAssignment, LoadHost, LoadServer, LoadStep, LoadView } from './types.js';

/** Schedule of the load polls and summaries of one host. */
export interface LoadSchedule {
  /** Current assignment of servers to this host. */
  assignment(): LoadAssignment;
  /** Assigns the servers anew after a change of the live hosts or of the servers; cheap when neither changed. */
  assign(view: LoadView, nowMs: number): void;
  /** Records that a summary of a peer contains the server. */
  noteHeard(serverId: string, nowMs: number): void;
  /** Milliseconds until the next round. */
  untilRoundMs(nowMs: number): number;
  /** Returns the polls that are due; `mayPoll` excludes servers that this host does not use from the fallback polls. */
  tick(nowMs: number, mayPoll: (serverId: string) => boolean): LoadStep;
}

const MS_PER_SECOND = 1_000;

/** Capacity of the token bucket that limits fallback polls. */
const MAX_POLL_BURST = 5;

const NO_ASSIGNMENT: LoadAssignment = {
  roundMs: MIN_LOAD_INTERVAL_MS,
  intervalMs: MIN_LOAD_INTERVAL_MS,
  collects: new Set(),
  expects: new Set(),
  representatives: [],
};

const listHostIds = (hosts: readonly LoadHost[], failureDomain: string): readonly string[] =>
  hosts.filter((host) => host.failureDomain === failureDomain).map((host) => host.hostId);

/**
 * Finds the hosts of the other failure domains of the region to which this host sends its summaries. The hosts of a
 * failure domain share this work evenly, and each sends to at least one host of every other one.
 */
const findRepresentatives = ({ self, hosts }: LoadView): readonly string[] => {
  const neighbours = listHostIds(hosts, self.failureDomain);
  const region = hosts.filter((host) => host.region === self.region && host.failureDomain !== self.failureDomain);
  const domains = [...new Set(region.map((host) => host.failureDomain))].sort();
  return domains.flatMap((domain) => {
    const domainHosts = listHostIds(region, domain);
    const limit = Math.ceil(neighbours.length / domainHosts.length);
    return spreadByRendezvous(neighbours, domainHosts, { task: 'load-exchange', limit }).get(self.hostId) ?? [];
  });
};

const keepOnly = (times: Map<string, number>, isKept: (serverId: string) => boolean): void =>
  [...times.keys()].filter((serverId) => !isKept(serverId)).forEach((serverId) => times.delete(serverId));

class Schedule implements LoadSchedule {
  private current = NO_ASSIGNMENT;

  private hostsKey = '';

  private servers: readonly LoadServer[] = [];

  /** Collector of each server that the own failure domain polls; ranked for the hosts and servers in the key below. */
  private collectors: ReadonlyMap<string, string> = new Map();

  private collectorsKey = '';

  private representatives: readonly string[] = [];

  private readonly heardMs = new Map<string, number>();

  private readonly polledMs = new Map<string, number>();

  /** Servers that another host takes over, with the time of the handover; polled here until a summary contains them. */
  private readonly handedOverMs = new Map<string, number>();

  private nextRoundMs = 0;

  private lastRoundMs = -Infinity;

  /** Whether the next round follows an event that other hosts see at the same time, such as a start or a lost host. */
  private isAligned = true;

  private lastTickMs: number | undefined;

  private pollTokens = MAX_POLL_BURST;

  constructor(private readonly random: Random) {}

  assignment(): LoadAssignment {
    return this.current;
  }

  assign(view: LoadView, nowMs: number): void {
    const hostsKey = view.hosts
      .map((host) => `${host.hostId} ${host.failureDomain}`)
      .sort()
      .join('\n');
    if (hostsKey === this.hostsKey && view.servers === this.servers) {
      return;
    }
    if (hostsKey !== this.hostsKey) {
      this.representatives = findRepresentatives(view);
    }
    this.hostsKey = hostsKey;
    this.servers = view.servers;
    this.applyAssignment(this.assignServers(view), nowMs);
  }

  noteHeard(serverId: string, nowMs: number): void {
    if (this.current.expects.has(serverId)) {
      this.handedOverMs.delete(serverId);
      this.heardMs.set(serverId, Math.max(nowMs, this.heardMs.get(serverId) ?? -Infinity));
    }
  }

  untilRoundMs(nowMs: number): number {
    return Math.max(0, this.nextRoundMs - nowMs);
  }

  tick(nowMs: number, mayPoll: (serverId: string) => boolean): LoadStep {
    const elapsedMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    const round = nowMs >= this.nextRoundMs ? this.startRound(nowMs) : undefined;
    return { round, alone: this.takeFallbackPolls(nowMs, elapsedMs, mayPoll) };
  }

  /** Assigns the servers to the hosts of the own failure domain; the only live host takes every server. */
  private assignServers(view: LoadView): LoadAssignment {
    const { self, hosts, servers } = view;
    const neighbours = listHostIds(hosts, self.failureDomain);
    const liveDomains = new Set(hosts.map((host) => host.failureDomain));
    const candidates = hosts.length > 1 ? servers.filter((server) => server.region === self.region) : servers;
    const own = candidates.filter(
      ({ failureDomain }) => failureDomain === self.failureDomain || !liveDomains.has(failureDomain),
    );
    this.chooseCollectors(own, self, neighbours);
    const collects = new Set(
      [...this.collectors].filter(([, hostId]) => hostId === self.hostId).map(([serverId]) => serverId),
    );
    // Servers of a lost failure domain do not lengthen the report interval of this one.
    const ownDomain = hosts.length > 1 ? own.filter((server) => server.failureDomain === self.failureDomain) : own;
    return {
      ...loadIntervalMs(neighbours.length, ownDomain.length),
      collects,
      expects: new Set(candidates.map((server) => server.serverId).filter((serverId) => !collects.has(serverId))),
      representatives: this.representatives,
    };
  }

  /** Ranks collectors again only if hosts or servers changed; the host list is read every second and rarely changes. */
  private chooseCollectors(own: readonly LoadServer[], self: LoadHost, neighbours: readonly string[]): void {
    const key = [neighbours, own.map((server) => server.serverId)].map((ids) => ids.join(' ')).join('\n');
    if (key === this.collectorsKey) {
      return;
    }
    this.collectorsKey = key;
    // Servers of lost failure domains are ranked separately, so that such a loss moves no server of this one.
    const isLost = (server: LoadServer): boolean => server.failureDomain !== self.failureDomain;
    this.collectors = new Map(
      [own.filter((server) => !isLost(server)), own.filter(isLost)].flatMap((servers) => {
        const limit = Math.ceil((servers.length / Math.max(1, neighbours.length)) * COLLECTOR_LOAD_FACTOR);
        const ids = servers.map((server) => server.serverId);
        return [...spreadByRendezvous(ids, neighbours, { task: 'load', limit })];
      }),
    );
  }

  private applyAssignment(next: LoadAssignment, nowMs: number): void {
    const gained = [...next.collects].some((serverId) => !this.current.collects.has(serverId));
    const earliestMs = gained ? Math.max(nowMs, this.lastRoundMs + MIN_LOAD_INTERVAL_MS) : nowMs + next.roundMs;
    this.isAligned ||= gained;
    this.current.collects.forEach((serverId) => {
      if (next.expects.has(serverId)) {
        this.handedOverMs.set(serverId, nowMs);
      }
    });
    keepOnly(this.handedOverMs, (serverId) => next.expects.has(serverId));
    this.nextRoundMs = Math.min(this.nextRoundMs, earliestMs);
    this.current = next;
    const isKnown = (serverId: string): boolean => next.expects.has(serverId) || next.collects.has(serverId);
    keepOnly(this.polledMs, isKnown);
    // A server that this host has collected until now counts as just reported when another host takes it over.
    keepOnly(this.heardMs, (serverId) => next.expects.has(serverId));
    next.expects.forEach((serverId) => {
      if (!this.heardMs.has(serverId)) {
        this.heardMs.set(serverId, nowMs);
      }
    });
  }

  /** Starts a round and returns the servers to poll for its summary, longest unpolled first, within the poll limit. */
  private startRound(nowMs: number): readonly string[] {
    const { collects, roundMs, intervalMs } = this.current;
    const handoverMs = intervalMs * SILENT_INTERVALS;
    keepOnly(this.handedOverMs, (serverId) => nowMs - (this.handedOverMs.get(serverId) ?? 0) < handoverMs);
    const factor = this.isAligned ? this.random() : 1 - this.random() * ROUND_JITTER_SHARE;
    this.nextRoundMs = nowMs + roundMs * factor;
    this.lastRoundMs = nowMs;
    this.isAligned = false;
    const limit = Math.floor((roundMs * MAX_POLLS_PER_SECOND) / MS_PER_SECOND);
    return this.takeLongestUnpolled([...collects, ...this.handedOverMs.keys()], limit, nowMs);
  }

  private takeFallbackPolls(
    nowMs: number,
    elapsedMs: number,
    mayPoll: (serverId: string) => boolean,
  ): readonly string[] {
    const { collects, expects, intervalMs } = this.current;
    const pollsPerSecond = Math.max(0, MAX_POLLS_PER_SECOND - (collects.size * MS_PER_SECOND) / intervalMs);
    this.pollTokens = Math.min(MAX_POLL_BURST, this.pollTokens + (elapsedMs * pollsPerSecond) / MS_PER_SECOND);
    const due = [...expects].filter(
      (serverId) =>
        nowMs - (this.heardMs.get(serverId) ?? nowMs) >= intervalMs * SILENT_INTERVALS &&
        nowMs - (this.polledMs.get(serverId) ?? -Infinity) >= intervalMs &&
        mayPoll(serverId),
    );
    const taken = this.takeLongestUnpolled(due, Math.floor(this.pollTokens), nowMs);
    this.pollTokens -= taken.length;
    return taken;
  }

  private takeLongestUnpolled(serverIds: readonly string[], limit: number, nowMs: number): readonly string[] {
    const lastPolledMs = (serverId: string): number => this.polledMs.get(serverId) ?? 0;
    const taken = [...serverIds].sort((a, b) => lastPolledMs(a) - lastPolledMs(b)).slice(0, limit);
    taken.forEach((serverId) => this.polledMs.set(serverId, nowMs));
    return taken;
  }
}

/**
 * Creates the schedule of a host's load polls. Each server has one collector, chosen by bounded rendezvous hashing
 * among the live entry hosts of its failure domain. Servers of a failure domain without live entry hosts are collected
 * by every other failure domain of the region for itself.
 *
 * @param random - random source, for the jitter of the rounds
 * @returns the schedule, without an assignment
 * @example
 * const schedule = createLoadSchedule(random);
 * schedule.assign({ self, hosts, servers }, nowMs);
 * const { round, alone } = schedule.tick(nowMs, isUsed);
 */
export default function createLoadSchedule(random: Random): LoadSchedule {
  return new Schedule(random);
}
