import type { Clock, Timer } from '@bergamotcove/clock';
import type { LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import type { LimitTable } from './createLimitTable.js';
import { ANNOUNCE_LIMITS, type LimitAnnouncement } from './messages.js';

/** Tells all hosts which limits are in force, so that none of them sends without asking. */
export interface LimitAnnouncer {
  /** Sends the limits that this host hands out: at once, or at the end of the least interval. */
  announce(): void;
  start(hosts: HostRegistry): void;
  close(): void;
}

/** Options of {@link createLimitAnnouncer}. */
export interface LimitAnnouncerOptions {
  readonly clock: Clock;
  readonly links: LinkClient;
  readonly table: LimitTable;
  /** Whether this host hands out the sends to a server. */
  readonly isOwn: (serverId: string) => boolean;
}

/** Interval at which the limits in force are sent again, for hosts that have missed a message. */
const REPEAT_MS = 5_000;
const MIN_INTERVAL_MS = 1_000;
/** Part of the least interval for each host, so that a large fleet does not get more messages a second. */
const INTERVAL_PER_HOST_MS = 10;

const formatStart = ({ hostId, startId }: HostEntry): string => `${hostId} ${startId}`;

class Announcer implements LimitAnnouncer {
  private hosts: HostRegistry | undefined;

  private timer: Timer | undefined;

  private dueAtMs = Infinity;

  private announcedAtMs = -Infinity;

  private known = new Set<string>();

  private closed = false;

  constructor(private readonly options: LimitAnnouncerOptions) {}

  announce(): void {
    this.schedule(this.announcedAtMs + this.minIntervalMs());
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
    this.known = new Set(hosts.list().map(formatStart));
    hosts.onChange(() => this.welcome(hosts));
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private minIntervalMs(): number {
    return Math.max(MIN_INTERVAL_MS, (this.hosts?.list().length ?? 0) * INTERVAL_PER_HOST_MS);
  }

  /** Sends the limits to hosts that have started. */
  private welcome(hosts: HostRegistry): void {
    const added = hosts.list().filter((host) => !this.known.has(formatStart(host)));
    this.known = new Set(hosts.list().map(formatStart));
    this.sendTo(added, hosts);
  }

  private schedule(atMs: number): void {
    const { clock } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.closed || (this.timer !== undefined && this.dueAtMs <= Math.max(nowMs, atMs))) {
      return;
    }
    this.timer?.close();
    this.dueAtMs = Math.max(nowMs, atMs);
    this.timer = clock.schedule(this.dueAtMs - nowMs, () => {
      this.timer = undefined;
      this.announcedAtMs = clock.monotonicMs();
      if (this.hosts !== undefined && this.sendTo(this.hosts.list(), this.hosts)) {
        this.schedule(this.announcedAtMs + REPEAT_MS);
      }
    });
  }

  /** Sends the limits that this host hands out; false when there are none. */
  private sendTo(receivers: readonly HostEntry[], { self }: HostRegistry): boolean {
    const { table, isOwn, links } = this.options;
    const inForce = table.list().map(({ serverId }) => serverId);
    const notices = table.describe([...inForce, ...table.listEnded()].filter(isOwn));
    if (notices.length === 0) {
      return false;
    }
    const announcement: LimitAnnouncement = { hostId: self.hostId, notices };
    receivers
      .filter(({ hostId }) => hostId !== self.hostId)
      // A host that misses the message gets the next one, or learns the limit from an answer of the server.
      .forEach(({ target }) => links.call(target, ANNOUNCE_LIMITS, announcement).catch(() => undefined));
    return true;
  }
}

/**
 * Creates the announcer of a host.
 *
 * @param options - table of limits, and links to other hosts
 * @returns the announcer; close it to stop its timer
 */
export default function createLimitAnnouncer(options: LimitAnnouncerOptions): LimitAnnouncer {
  return new Announcer(options);
}
