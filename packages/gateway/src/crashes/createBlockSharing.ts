import { createHash } from 'node:crypto';
import type { StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import { readBlockText, readRemainingMs } from './blockTexts.js';
import createBlockStore, { type BlockPrefixes, type BlockStore } from './createBlockStore.js';
import { BLOCK_REQUEST, type BlockNotice } from './messages.js';

/** Exchange of blocks with hosts that request what they have missed. */
export interface BlockExchange {
  /** Digest of the blocked requests; equal on hosts that block the same requests. */
  digest(): string;
  list(): readonly BlockNotice[];
  learn(notices: readonly BlockNotice[]): void;
}

/** Entry of the store about a request: its block or its release. */
export interface StoredText {
  readonly fingerprint: string;
  readonly text: string;
}

/** All blocks and releases of the store. */
export interface StoredBlockTexts {
  readonly blocks: readonly StoredText[];
  readonly releases: readonly StoredText[];
  /** Whether the store was restored from an older copy, which may lack releases that are in force. */
  readonly isNewEra: boolean;
}

/** Consumer of the blocks and releases in the store. */
export interface StoredBlocks {
  put(block: StoredText): void;
  /** Handles the removal of a block's key; the block itself ends early only with a release. */
  remove(fingerprint: string): void;
  putRelease(release: StoredText): void;
  removeRelease(fingerprint: string): void;
  /** Applies a complete snapshot of blocks and releases. */
  replace(all: StoredBlockTexts): void;
}

/** Shares blocked requests between hosts: by messages at once, through the store, and by exchange on request. */
export interface BlockSharing {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  readonly exchange: BlockExchange;
  readonly stored: StoredBlocks;
  start(hosts: HostRegistry): void;
  /** Announces a request that this host has blocked to the other hosts and, after a delay, to the store. */
  announce(notice: Omit<BlockNotice, 'release'>, options: { readonly storeDelayMs: number }): void;
  /** Ends a block on all hosts. Rejects when the store does not accept the release. */
  release(fingerprint: string): Promise<void>;
  close(): void;
}

/** Options of {@link createBlockSharing}. */
export interface BlockSharingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly links: LinkClient;
  readonly store: Pick<StoreClient, 'grantLease' | 'txn' | 'revokeLease'>;
  readonly prefixes: BlockPrefixes;
  readonly hostId: string;
  readonly random: () => number;
  /** Requests that this host blocks. */
  readonly list: () => readonly Omit<BlockNotice, 'release'>[];
  readonly onLearnt: (notice: BlockNotice) => void;
  readonly onReleased: (fingerprint: string) => void;
}

/** The key of a block that is missing within this time before the block ends has expired with its lease. */
const LEASE_SLACK_MS = 10_000;
/** Range of the random delay before a host rewrites a missing key; the first write makes the others unnecessary. */
const REWRITE_JITTER_MS = 2_000;

class Sharing implements BlockSharing {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  readonly exchange: BlockExchange;

  readonly stored: StoredBlocks;

  private readonly store: BlockStore;

  /** Releases in the store by request. A block that was decided without knowledge of its release is not in force. */
  private readonly releases = new Map<string, string>();

  /** For each block of this host, the release of the request that was known when the block was decided. */
  private readonly releasesAtBlock = new Map<string, string | undefined>();

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
      list: () => this.list(),
      learn: (notices) => notices.forEach((notice) => this.learn(notice)),
    };
    this.stored = {
      put: (block) => this.putStored(block),
      remove: (fingerprint) => this.rewrite(fingerprint),
      putRelease: (release) => this.putRelease(release),
      removeRelease: (fingerprint) => {
        this.releases.delete(fingerprint);
      },
      replace: (all) => this.replaceStored(all),
    };
  }

  start(hosts: HostRegistry): void {
    this.hosts = hosts;
  }

  announce(
    { fingerprint, remainingMs }: Omit<BlockNotice, 'release'>,
    { storeDelayMs }: { readonly storeDelayMs: number },
  ): void {
    const { hosts } = this;
    const release = this.releases.get(fingerprint);
    this.releasesAtBlock.set(fingerprint, release);
    this.store.publish(fingerprint, { durationMs: remainingMs, delayMs: storeDelayMs, release });
    const notice: BlockNotice = { fingerprint, remainingMs, ...(release === undefined ? {} : { release }) };
    hosts
      ?.list()
      .filter(({ hostId }) => hostId !== hosts.self.hostId)
      // A host that misses the message receives the block from the store, or by the exchange.
      .forEach(({ target }) => this.options.links.call(target, BLOCK_REQUEST, notice).catch(() => undefined));
  }

  async release(fingerprint: string): Promise<void> {
    this.putRelease({ fingerprint, text: await this.store.release(fingerprint) });
  }

  close(): void {
    this.store.close();
  }

  private list(): readonly BlockNotice[] {
    return this.options.list().map((notice) => {
      const release = this.releasesAtBlock.get(notice.fingerprint);
      return release === undefined ? notice : { ...notice, release };
    });
  }

  private digest(): string {
    const fingerprints = this.options.list().map(({ fingerprint }) => fingerprint);
    return fingerprints.length === 0
      ? ''
      : createHash('sha256').update(JSON.stringify(fingerprints.sort())).digest('base64url');
  }

  private learn(notice: BlockNotice): void {
    const { fingerprint, release, remainingMs } = notice;
    const known = this.releases.get(fingerprint);
    if (remainingMs > 0 && (known === undefined || known === release)) {
      this.releasesAtBlock.set(fingerprint, release);
      this.options.onLearnt(notice);
    }
  }

  private putStored({ fingerprint, text }: StoredText): void {
    this.store.cancel(fingerprint);
    const block = readBlockText(text);
    if (block === undefined) {
      this.options.logger.event('blockUnreadable', { fingerprint });
      return;
    }
    const remainingMs = readRemainingMs(block, this.options.clock.wallMs());
    const { release } = block;
    this.learn({ fingerprint, remainingMs, ...(release === undefined ? {} : { release }) });
  }

  /** Rewrites releases that the store has lost. */
  private rewriteReleases(stored: ReadonlySet<string>): void {
    [...this.releases]
      .filter(([fingerprint]) => !stored.has(fingerprint))
      .forEach(([fingerprint, text]) => {
        this.store.rewriteRelease(fingerprint, { text, delayMs: this.options.random() * REWRITE_JITTER_MS });
      });
  }

  private putRelease({ fingerprint, text }: StoredText): void {
    this.releases.set(fingerprint, text);
    this.store.cancelRelease(fingerprint);
    if (this.releasesAtBlock.get(fingerprint) !== text) {
      this.store.cancel(fingerprint);
      this.releasesAtBlock.delete(fingerprint);
      this.options.onReleased(fingerprint);
    }
  }

  /** Rewrites a block whose key is missing because its lease expired in an outage, or because the store lost it. */
  private rewrite(fingerprint: string): void {
    const { clock, logger, random, list } = this.options;
    const remainingMs = list().find((block) => block.fingerprint === fingerprint)?.remainingMs ?? 0;
    if (remainingMs > LEASE_SLACK_MS) {
      const delayMs = random() * REWRITE_JITTER_MS;
      const release = this.releasesAtBlock.get(fingerprint);
      logger.event('blockMissing', { fingerprint, remainingMs: Math.round(remainingMs), wallMs: clock.wallMs() });
      this.store.publish(fingerprint, { durationMs: remainingMs, delayMs, release });
    }
  }

  private replaceStored({ blocks, releases, isNewEra }: StoredBlockTexts): void {
    if (isNewEra) {
      this.rewriteReleases(new Set(releases.map(({ fingerprint }) => fingerprint)));
    } else {
      this.releases.clear();
    }
    releases.forEach((release) => this.putRelease(release));
    blocks.forEach((block) => this.putStored(block));
    const stored = new Set(blocks.map(({ fingerprint }) => fingerprint));
    this.options
      .list()
      .filter(({ fingerprint }) => !stored.has(fingerprint))
      .forEach(({ fingerprint }) => this.rewrite(fingerprint));
  }
}

/**
 * Creates the sharing of blocks. A block of one host is in force on all hosts: it is sent at once to the listed hosts,
 * written to the store for hosts that start or were disconnected, and exchanged between hosts while the store is
 * unavailable. Only a release ends a block before its time; a missing key is rewritten by a host that has the block.
 *
 * @param options - store, links, and the blocks of this host
 * @returns the sharing; close it to cancel its pending writes
 */
export default function createBlockSharing(options: BlockSharingOptions): BlockSharing {
  return new Sharing(options);
}
