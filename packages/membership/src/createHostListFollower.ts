import { Subject, type Observable } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import {
  advanceHostList,
  createHostListState,
  HOST_LIST_TICK_MS,
  type HostListAction,
  type HostListEvent,
  type HostListState,
} from '@bergamotcove/decide';
import { exhaustive } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import type { HostList } from '@bergamotcove/backends';
import { hostsChangedSchema, type HostsChanged, type ListedHost, type PeerAddress } from '@bergamotcove/protocol';
import type { PeerClient, PeerServer } from '@bergamotcove/transport';
import runConcurrently from './_lib/runConcurrently.js';
import { PEER_TIMEOUT_MS, PUSH_CONCURRENCY } from './constants.js';

/** Options of {@link createHostListFollower}. */
export interface HostListFollowerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly self: PeerAddress;
  readonly peerClient: PeerClient;
  /** Interval at which a reader (a host that fetches the list itself) reads the list. */
  readonly readMs: number;
  /** Reads the list; returns undefined when it still has the given entity tag. */
  readonly readList: (etag: string | undefined) => Promise<HostList | undefined>;
}

/** The host list as known to this host, from its own reads or from those of the readers of its failure domain. */
export interface HostListFollower {
  /** Entries of the current list; the same array until the list changes. */
  hosts(): readonly ListedHost[];
  /** Emits every new list. */
  readonly changes: Observable<readonly ListedHost[]>;
  /** Sets the live entry hosts, this one included. */
  setHosts(hosts: readonly PeerAddress[]): void;
  /** Emits the summaries that a reader sends to the other hosts of its failure domain under `HOST_LIST_TOPIC`. */
  readonly announcements: Observable<Uint8Array>;
  /** Processes a summary of a reader; ignores other topics. */
  receiveSummary(topic: string, payload: Uint8Array): void;
  /** Registers `hosts.changed`. */
  register(server: PeerServer): void;
  /** Starts to follow the list; resolves when the first read has ended, even if it failed. */
  start(): Promise<void>;
  close(): void;
}

/** Topic of the summaries in which readers announce their revision. */
export const HOST_LIST_TOPIC = 'host-list';

/** Feeds events to the host list reducer and performs its actions. */
class ReducerFollower implements HostListFollower {
  private readonly changesSubject = new Subject<readonly ListedHost[]>();

  private readonly announcementsSubject = new Subject<Uint8Array>();

  private state: HostListState;

  private currentHosts: readonly ListedHost[] = [];

  private timer: Timer | undefined;

  private closed = false;

  private resolveStart: (() => void) | undefined;

  readonly changes = this.changesSubject.asObservable();

  readonly announcements = this.announcementsSubject.asObservable();

  constructor(private readonly options: HostListFollowerOptions) {
    const { self, readMs, clock } = options;
    this.state = createHostListState(self, { readMs, nowMs: clock.monotonicMs() });
  }

  hosts(): readonly ListedHost[] {
    return this.currentHosts;
  }

  setHosts(hosts: readonly PeerAddress[]): void {
    this.handle({ type: 'peers-changed', hosts });
  }

  receiveSummary(topic: string, payload: Uint8Array): void {
    if (topic !== HOST_LIST_TOPIC) {
      return;
    }
    try {
      const notice = hostsChangedSchema.parse(JSON.parse(new TextDecoder().decode(payload)));
      this.handle({ type: 'heard', notice });
    } catch (cause) {
      this.options.logger.event('peerMessageInvalid', { error: String(cause) });
    }
  }

  register(server: PeerServer): void {
    server.register('hosts.changed', (params) => {
      this.handle({ type: 'heard', notice: hostsChangedSchema.parse(params) });
      return {};
    });
  }

  start(): Promise<void> {
    return new Promise((resolve) => {
      this.resolveStart = resolve;
      this.tick();
    });
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
    this.changesSubject.complete();
    this.announcementsSubject.complete();
    this.resolveStart?.();
  }

  private tick(): void {
    this.handle({ type: 'tick' });
    const { clock, readMs } = this.options;
    this.timer = clock.schedule(Math.min(HOST_LIST_TICK_MS, readMs), () => this.tick());
  }

  private handle(event: HostListEvent): void {
    if (this.closed) {
      return;
    }
    const { clock, random } = this.options;
    const { state, actions } = advanceHostList(this.state, event, clock.monotonicMs(), random);
    this.state = state;
    actions.forEach((action) => this.perform(action));
  }

  private perform(action: HostListAction): void {
    switch (action.type) {
      case 'read':
        this.read(action.etag).catch(() => undefined);
        break;
      case 'tell':
        this.notifyHosts(action.to, action.notice);
        break;
      case 'announce':
        this.announcementsSubject.next(new TextEncoder().encode(JSON.stringify(action.notice)));
        break;
      case 'changed':
        this.currentHosts = action.hosts;
        this.changesSubject.next(action.hosts);
        break;
      case 'went-back':
        this.options.logger.event('hostListWentBack', { known: action.known, offered: action.offered });
        break;
      default:
        exhaustive(action);
    }
  }

  private async read(etag: string | undefined): Promise<void> {
    try {
      const list = await this.options.readList(etag);
      this.handle(list === undefined ? { type: 'read-unchanged' } : { type: 'read', list });
    } catch (cause) {
      this.options.logger.event('hostListUnavailable', { error: String(cause) });
      this.handle({ type: 'read-failed' });
    }
    this.resolveStart?.();
  }

  private notifyHosts(hosts: readonly PeerAddress[], notice: HostsChanged): void {
    const { peerClient } = this.options;
    runConcurrently(hosts, PUSH_CONCURRENCY, ({ address, peersPort }) =>
      peerClient.call({ address, port: peersPort }, 'hosts.changed', notice, { timeoutMs: PEER_TIMEOUT_MS }),
    ).catch(() => undefined);
  }
}

/**
 * Creates the follower of the host list.
 *
 * @param options - own address, peer client and source of the list
 * @returns the follower; it is active from `start` to `close`
 * @example
 * const hostList = createHostListFollower({ clock, logger, random, self, peerClient, readMs, readList });
 */
export default function createHostListFollower(options: HostListFollowerOptions): HostListFollower {
  return new ReducerFollower(options);
}
