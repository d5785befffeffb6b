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
import runBounded from './_lib/runBounded.js';
import { PEER_TIMEOUT_MS, PUSH_CONCURRENCY } from './constants.js';

/** Options of {@link createHostListFollower}. */
export interface HostListFollowerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly self: PeerAddress;
  readonly peerClient: PeerClient;
  /** Interval between two reads of a reader. */
  readonly readMs: number;
  /** Reads the list; undefined when it still has the given tag. */
  readonly readList: (etag: string | undefined) => Promise<HostList | undefined>;
}

/** The host list as this host follows it, by its own reads or those of the readers of its failure domain. */
export interface HostListFollower {
  /** Entries of the list in use; the same array until the list changes. */
  hosts(): readonly ListedHost[];
  /** Every new list. */
  readonly changes: Observable<readonly ListedHost[]>;
  /** Takes the live entry hosts, this one included. */
  setHosts(hosts: readonly PeerAddress[]): void;
  /** Summaries of a reader for the other hosts of its failure domain, under `HOST_LIST_TOPIC`. */
  readonly announcements: Observable<Uint8Array>;
  /** Takes a summary that a reader sent; other topics are left alone. */
  hear(topic: string, payload: Uint8Array): void;
  /** Registers `hosts.changed`. */
  register(server: PeerServer): void;
  /** Resolves when the first read has ended, also when it failed. */
  start(): Promise<void>;
  close(): void;
}

/** Topic of the summaries in which readers send their revision. */
export const HOST_LIST_TOPIC = 'host-list';

/** Interpreter of the host list reducer. */
class ReducedFollower implements HostListFollower {
  private readonly subject = new Subject<readonly ListedHost[]>();

  private readonly announced = new Subject<Uint8Array>();

  private state: HostListState;

  private current: readonly ListedHost[] = [];

  private timer: Timer | undefined;

  private closed = false;

  private resolveFirst: (() => void) | undefined;

  readonly changes = this.subject.asObservable();

  readonly announcements = this.announced.asObservable();

  constructor(private readonly options: HostListFollowerOptions) {
    const { self, readMs, clock } = options;
    this.state = createHostListState(self, { readMs, nowMs: clock.monotonicMs() });
  }

  hosts(): readonly ListedHost[] {
    return this.current;
  }

  setHosts(hosts: readonly PeerAddress[]): void {
    this.handle({ type: 'peers-changed', hosts });
  }

  hear(topic: string, payload: Uint8Array): void {
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
      this.resolveFirst = resolve;
      this.tick();
    });
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
    this.subject.complete();
    this.announced.complete();
    this.resolveFirst?.();
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
        this.tell(action.to, action.notice);
        break;
      case 'announce':
        this.announced.next(new TextEncoder().encode(JSON.stringify(action.notice)));
        break;
      case 'changed':
        this.current = action.hosts;
        this.subject.next(action.hosts);
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
    this.resolveFirst?.();
  }

  private tell(hosts: readonly PeerAddress[], notice: HostsChanged): void {
    const { peerClient } = this.options;
    runBounded(hosts, PUSH_CONCURRENCY, ({ address, peersPort }) =>
      peerClient.call({ address, port: peersPort }, 'hosts.changed', notice, { timeoutMs: PEER_TIMEOUT_MS }),
    ).catch(() => undefined);
  }
}

/**
 * Creates the follower of the host list.
 *
 * @param options - own address, ways to reach peers and source of the list
 * @returns the follower; it reads from `start` to `close`
 * @example
 * const hostList = createHostListFollower({ clock, logger, random, self, peerClient, readMs, readList });
 */
export default function createHostListFollower(options: HostListFollowerOptions): HostListFollower {
  return new ReducedFollower(options);
}
