import { createHash } from 'node:crypto';
import type { StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import createBlockStore, { type BlockStore } from './createBlockStore.js';
import { BLOCK_REQUEST, type BlockNotice } from './messages.js';

/** What a host passes on of its blocks when others ask what they have missed. */
export interface BlockExchange {
  /** The same on hosts that block the same requests. */
  digest(): string;
  list(): readonly BlockNotice[];
  learn(notices: readonly BlockNotice[]): void;
}

/** Blocks as they stand in the store. */
export interface StoredBlocks {
  put(fingerprint: string): void;
  remove(fingerprint: string): void;
  /** These are all. */
  replace(fingerprints: readonly string[]): void;
}

/** Shares blocked requests between hosts: at once, over the store, and by asking. */
export interface BlockSharing {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  readonly exchange: BlockExchange;
  readonly stored: StoredBlocks;
  start(hosts: HostRegistry): void;
  /** This host has blocked a request. */
  announce(notice: BlockNotice, options: { readonly storeDelayMs: number }): void;
  close(): void;
}

/** Options of {@link createBlockSharing}. */
export interface BlockSharingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly store: Pick<StoreClient, 'grantLease' | 'txn' | 'revokeLease'>;
  readonly prefix: string;
  readonly hostId: string;
  /** Requests that this host blocks. */
  readonly list: () => readonly BlockNotice[];
  readonly onLearnt: (notice: BlockNotice) => void;
  readonly onReleased: (fingerprint: string) => void;
  /** Whether entries may lapse because the store is away. */
  readonly isStoreLost: () => boolean;
}

/** Time in which hosts that still block a released request do not bring it back. */
const RELEASE_MS = 10_000;

class Sharing implements BlockSharing {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  readonly exchange: BlockExchange;

  readonly stored: StoredBlocks;

  private readonly store: BlockStore;

  /** Requests whose blocks are in the store. */
  private readonly inStore = new Set<string>();

  /** End of the time in which a released request is not blocked by what others tell. */
  private readonly releasedUntilMs = new Map<string, number>();

  private hosts: HostRegistry | undefined;

  constructor(private readonly options: BlockSharingOptions) {
    this.store = createBlockStore(options);
    this.methods = {
      [BLOCK_REQUEST]: (params) => {
        this.learn(params as BlockNotice);
        return true;
      },
    };
    this.exchange = {
      digest: () => this.digest(),
      list: options.list,
      learn: (notices) => notices.forEach((notice) => this.learn(notice)),
    };
    this.stored = {
      put: (fingerprint) => this.putStored(fingerprint),
      remove: (fingerprint) => this.removeStored(fingerprint),
      replace: (fingerprints) => this.replaceStored(new Set(fingerprints)),
    };
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
  }

  announce(notice: BlockNotice, { storeDelayMs }: { readonly storeDelayMs: number }): void {
    const { hosts } = this;
    this.store.publish(notice.fingerprint, { lastsMs: notice.remainingMs, delayMs: storeDelayMs });
    hosts
      ?.list()
      .filter(({ hostId }) => hostId !== hosts.self.hostId)
      // A host that misses the message learns of it from the store, or asks for it.
      .forEach(({ target }) => this.options.links.call(target, BLOCK_REQUEST, notice).catch(() => undefined));
  }

  close(): void {
    this.store.close();
  }

  private digest(): string {
    const fingerprints = this.options.list().map(({ fingerprint }) => fingerprint);
    return fingerprints.length === 0
      ? ''
      : createHash('sha256').update(JSON.stringify(fingerprints.sort())).digest('base64url');
  }

  private learn(notice: BlockNotice): void {
    const nowMs = this.options.clock.monotonicMs();
    if ((this.releasedUntilMs.get(notice.fingerprint) ?? -Infinity) <= nowMs) {
      this.options.onLearnt(notice);
    }
  }

  private putStored(fingerprint: string): void {
    this.inStore.add(fingerprint);
    this.releasedUntilMs.delete(fingerprint);
    this.store.noteStored(fingerprint);
    this.options.onLearnt({ fingerprint, remainingMs: POISON_BLOCK_MS });
  }

  private removeStored(fingerprint: string): void {
    const { clock, isStoreLost, onReleased } = this.options;
    if (!this.inStore.delete(fingerprint) || isStoreLost()) {
      return;
    }
    const nowMs = clock.monotonicMs();
    [...this.releasedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([released]) => this.releasedUntilMs.delete(released));
    this.releasedUntilMs.set(fingerprint, nowMs + RELEASE_MS);
    onReleased(fingerprint);
  }

  private replaceStored(fingerprints: ReadonlySet<string>): void {
    [...this.inStore]
      .filter((fingerprint) => !fingerprints.has(fingerprint))
      .forEach((fingerprint) => this.removeStored(fingerprint));
    fingerprints.forEach((fingerprint) => this.putStored(fingerprint));
  }
}

/**
 * Creates the sharing of blocks. What one host blocks holds on all of them: it is told at once to those that are listed,
 * kept in the store for hosts that start or were cut off, and passed from host to host while the store is away.
 *
 * @param options - store, links, and the blocks of this host
 * @returns the sharing; close it to stop its writes
 */
export default function createBlockSharing(options: BlockSharingOptions): BlockSharing {
  return new Sharing(options);
}
