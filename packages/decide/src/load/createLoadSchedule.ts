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

/** Owner of the tasks and times of one host's load reports. */
export interface LoadSchedule {
  assignment(): LoadAssignment;
  /** Takes the live hosts and the servers; cheap when neither changed. */
  assign(view: LoadView, nowMs: number): void;
  /** A peer's summary names the server. */
  noteHeard(serverId: string, nowMs: number): void;
  /** Time until the next round. */
  untilRoundMs(nowMs: number): number;
  /** Polls that are due; `mayPoll` excludes servers that this host does not use. */
  tick(nowMs: number, mayPoll: (serverId: string) => boolean): LoadStep;
}

const MS_PER_SECOND = 1_000;

/** Polls that a host may catch up with after a time without any. */
const MAX_ALLOWANCE = 5;

const NO_ASSIGNMENT: LoadAssignment = {
  roundMs: MIN_LOAD_INTERVAL_MS,
  intervalMs: MIN_LOAD_INTERVAL_MS,
  collects: new Set(),
  expects: new Set(),
  representatives: [],
};

const idsOf = (hosts: readonly LoadHost[], failureDomain: string): readonly string[] =>
  hosts.filter((host) => host.failureDomain === failureDomain).map((host) => host.hostId);

/** One host of each other failure domain of the region; the hosts of a failure domain share the forwarding evenly. */
const findRepresentatives = ({ self, hosts }: LoadView): readonly string[] => {
  const neighbours = idsOf(hosts, self.failureDomain);
  const region = hosts.filter((host) => host.region === self.region && host.failureDomain !== self.failureDomain);
  const domains = [...new Set(region.map((host) => host.failureDomain))].sort();
  return domains.flatMap((domain) => {
    const others = idsOf(region, domain);
    const limit = Math.ceil(neighbours.length / others.length);
    return spreadByRendezvous(neighbours, others, { task: 'load-exchange', limit }).get(self.hostId) ?? [];
  });
};

const dropUnless = (times: Map<string, number>, isKept: (serverId: string) => boolean): void =>
  [...times.keys()].filter((serverId) => !isKept(serverId)).forEach((serverId) => times.delete(serverId));

class Schedule implements LoadSchedule {
  private current = NO_ASSIGNMENT;

  private hostsKey = '';

  private servers: readonly LoadServer[] = [];

  /** Collector of each server of the own failure domain, and the hosts and servers that it follows from. */
  private collectors: ReadonlyMap<string, string> = new Map();

  private collectorsKey = '';

  private representatives: readonly string[] = [];

  private readonly heardMs = new Map<string, number>();

  private readonly polledMs = new Map<string, number>();

  /** Servers that another host takes over, with the time of the change; polled here until a summary names them. */
  private readonly handedOverMs = new Map<string, number>();

  private nextRoundMs = 0;

  private lastRoundMs = -Infinity;

  /** Whether the next round begins at a moment that other hosts share, as a start or a verdict. */
  private inStep = true;

  private lastTickMs: number | undefined;

  private allowance = MAX_ALLOWANCE;

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
    this.replace(this.divide(view), nowMs);
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
    const round = nowMs >= this.nextRoundMs ? this.takeRound(nowMs) : undefined;
    return { round, alone: this.takeSilent(nowMs, elapsedMs, mayPoll) };
  }

  /** Divides the servers among the hosts of the own failure domain; a host alone takes every server. */
  private divide(view: LoadView): LoadAssignment {
    const { self, hosts, servers } = view;
    const neighbours = idsOf(hosts, self.failureDomain);
    const staffed = new Set(hosts.map((host) => host.failureDomain));
    const inReach = hosts.length > 1 ? servers.filter((server) => server.region === self.region) : servers;
    const own = inReach.filter(
      ({ failureDomain }) => failureDomain === self.failureDomain || !staffed.has(failureDomain),
    );
    this.chooseCollectors(own, self, neighbours);
    const collects = new Set(
      [...this.collectors].filter(([, hostId]) => hostId === self.hostId).map(([serverId]) => serverId),
    );
    // Servers of a lost failure domain do not slow down the reports of this one.
    const paced = hosts.length > 1 ? own.filter((server) => server.failureDomain === self.failureDomain) : own;
    return {
      ...loadIntervalMs(neighbours.length, paced.length),
      collects,
      expects: new Set(inReach.map((server) => server.serverId).filter((serverId) => !collects.has(serverId))),
      representatives: this.representatives,
    };
  }

  /** Ranks anew only when hosts or servers changed; the host list is read every second and rarely does. */
  private chooseCollectors(own: readonly LoadServer[], self: LoadHost, neighbours: readonly string[]): void {
    const key = [neighbours, own.map((server) => server.serverId)].map((ids) => ids.join(' ')).join('\n');
    if (key === this.collectorsKey) {
      return;
    }
    this.collectorsKey = key;
    // Apart from each other, so that the loss of another failure domain moves no server of this one.
    const isLost = (server: LoadServer): boolean => server.failureDomain !== self.failureDomain;
    this.collectors = new Map(
      [own.filter((server) => !isLost(server)), own.filter(isLost)].flatMap((servers) => {
        const limit = Math.ceil((servers.length / Math.max(1, neighbours.length)) * COLLECTOR_LOAD_FACTOR);
        const ids = servers.map((server) => server.serverId);
        return [...spreadByRendezvous(ids, neighbours, { task: 'load', limit })];
      }),
    );
  }

  private replace(next: LoadAssignment, nowMs: number): void {
    const gained = [...next.collects].some((serverId) => !this.current.collects.has(serverId));
    const earliestMs = gained ? Math.max(nowMs, this.lastRoundMs + MIN_LOAD_INTERVAL_MS) : nowMs + next.roundMs;
    this.inStep ||= gained;
    this.current.collects.forEach((serverId) => {
      if (next.expects.has(serverId)) {
        this.handedOverMs.set(serverId, nowMs);
      }
    });
    dropUnless(this.handedOverMs, (serverId) => next.expects.has(serverId));
    this.nextRoundMs = Math.min(this.nextRoundMs, earliestMs);
    this.current = next;
    const isKnown = (serverId: string): boolean => next.expects.has(serverId) || next.collects.has(serverId);
    dropUnless(this.polledMs, isKnown);
    // A server that this host has collected so far counts as just heard when another host takes it over.
    dropUnless(this.heardMs, (serverId) => next.expects.has(serverId));
    next.expects.forEach((serverId) => {
      if (!this.heardMs.has(serverId)) {
        this.heardMs.set(serverId, nowMs);
      }
    });
  }

  /** The servers of the next summary, the longest unpolled first, within the limit on polls. */
  private takeRound(nowMs: number): readonly string[] {
    const { collects, roundMs, intervalMs } = this.current;
    const keptMs = intervalMs * SILENT_INTERVALS;
    dropUnless(this.handedOverMs, (serverId) => nowMs - (this.handedOverMs.get(serverId) ?? 0) < keptMs);
    const phase = this.inStep ? this.random() : 1 - this.random() * ROUND_JITTER_SHARE;
    this.nextRoundMs = nowMs + roundMs * phase;
    this.lastRoundMs = nowMs;
    this.inStep = false;
    const limit = Math.floor((roundMs * MAX_POLLS_PER_SECOND) / MS_PER_SECOND);
    return this.takeLongestUnpolled([...collects, ...this.handedOverMs.keys()], limit, nowMs);
  }

  private takeSilent(nowMs: number, elapsedMs: number, mayPoll: (serverId: string) => boolean): readonly string[] {
    const { collects, expects, intervalMs } = this.current;
    const rest = Math.max(0, MAX_POLLS_PER_SECOND - (collects.size * MS_PER_SECOND) / intervalMs);
    this.allowance = Math.min(MAX_ALLOWANCE, this.allowance + (elapsedMs * rest) / MS_PER_SECOND);
    const due = [...expects].filter(
      (serverId) =>
        nowMs - (this.heardMs.get(serverId) ?? nowMs) >= intervalMs * SILENT_INTERVALS &&
        nowMs - (this.polledMs.get(serverId) ?? -Infinity) >= intervalMs &&
        mayPoll(serverId),
    );
    const taken = this.takeLongestUnpolled(due, Math.floor(this.allowance), nowMs);
    this.allowance -= taken.length;
    return taken;
  }

  private takeLongestUnpolled(serverIds: readonly string[], limit: number, nowMs: number): readonly string[] {
    const polled = (serverId: string): number => this.polledMs.get(serverId) ?? 0;
    const taken = [...serverIds].sort((a, b) => polled(a) - polled(b)).slice(0, limit);
    taken.forEach((serverId) => this.polledMs.set(serverId, nowMs));
    return taken;
  }
}

/**
 * Creates the owner of a host's tasks for load reports. Each server has one collector, chosen by rendezvous hashing with
 * a bound among the live entry hosts of its failure domain. Servers of a failure domain without live entry
 * hosts are collected by each other failure domain of the region for itself.
 *
 * @param random - random source, for the phase of the rounds
 * @returns the schedule
 * @example
 * const schedule = createLoadSchedule(random);
 * schedule.assign({ self, hosts, servers }, nowMs);
 * const { round, alone } = schedule.tick(nowMs, isUsed);
 */
export default function createLoadSchedule(random: Random): LoadSchedule {
  return new Schedule(random);
}
