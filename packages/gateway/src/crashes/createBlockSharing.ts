import { createHash } from 'node:crypto';
import type { StoreClient } from '@bergamotcove/backends';
import type { Clock } from '@bergamotcove/clock';
import type { Logger } from '@bergamotcove/log';
import type { LinkClient, LinkMethod } from '@bergamotcove/transport';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import { readBlockText, readRemainingMs } from './blockTexts.js';
import createBlockStore, { type BlockPrefixes, type BlockStore } from './createBlockStore.js';
import { BLOCK_REQUEST, type BlockNotice } from './messages.js';

/** What a host passes on of its blocks when others ask what they have missed. */
export interface BlockExchange {
  /** The same on hosts that block the same requests. */
  digest(): string;
  list(): readonly BlockNotice[];
  learn(notices: readonly BlockNotice[]): void;
}

/** A key of the store that is about a request. */
export interface StoredText {
  readonly fingerprint: string;
  readonly text: string;
}

/** All blocks and releases of the store. */
export interface StoredBlockTexts {
  readonly blocks: readonly StoredText[];
  readonly releases: readonly StoredText[];
  /** Whether the store came back from an older copy, which may lack releases that hold. */
  readonly isNewEra: boolean;
}

/** Blocks and releases as they stand in the store. */
export interface StoredBlocks {
  put(block: StoredText): void;
  /** The key of a block is missing; the block ends only with a release. */
  remove(fingerprint: string): void;
  putRelease(release: StoredText): void;
  removeRelease(fingerprint: string): void;
  /** These are all. */
  replace(all: StoredBlockTexts): void;
}

/** Shares blocked requests between hosts: at once, over the store, and by asking. */
export interface BlockSharing {
  readonly methods: Readonly<Record<string, LinkMethod>>;
  readonly exchange: BlockExchange;
  readonly stored: StoredBlocks;
  start(hosts: HostRegistry): void;
  /** This host has blocked a request. */
  announce(notice: Omit<BlockNotice, 'release'>, options: { readonly storeDelayMs: number }): void;
  /** Ends a block on all hosts. Rejects when the store does not take the release. */
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

/** A key that is missing so soon before its block ends has ended with its lease. */
const LEASE_SLACK_MS = 10_000;
/** Hosts write a missing key again within this time; the first one spares the others the call. */
const REWRITE_SPREAD_MS = 2_000;

class Sharing implements BlockSharing {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  readonly exchange: BlockExchange;

  readonly stored: StoredBlocks;

  private readonly store: BlockStore;

  /** Releases that stand in the store; a block that was decided without knowing its release does not hold. */
  private readonly releases = new Map<string, string>();

  /** Releases that were known when the blocks of this host were decided. */
  private readonly decidedAfter = new Map<string, string | undefined>();

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
    this.decidedAfter.set(fingerprint, release);
    this.store.publish(fingerprint, { lastsMs: remainingMs, delayMs: storeDelayMs, release });
    const notice: BlockNotice = { fingerprint, remainingMs, ...(release === undefined ? {} : { release }) };
    hosts
      ?.list()
      .filter(({ hostId }) => hostId !== hosts.self.hostId)
      // A host that misses the message learns of it from the store, or asks for it.
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
      const release = this.decidedAfter.get(notice.fingerprint);
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
      this.decidedAfter.set(fingerprint, release);
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

  /** Writes releases again that the store has lost. */
  private rewriteReleases(stored: ReadonlySet<string>): void {
    [...this.releases]
      .filter(([fingerprint]) => !stored.has(fingerprint))
      .forEach(([fingerprint, text]) => {
        this.store.rewriteRelease(fingerprint, { text, delayMs: this.options.random() * REWRITE_SPREAD_MS });
      });
  }

  private putRelease({ fingerprint, text }: StoredText): void {
    this.releases.set(fingerprint, text);
    this.store.cancelRelease(fingerprint);
    if (this.decidedAfter.get(fingerprint) !== text) {
      this.store.cancel(fingerprint);
      this.decidedAfter.delete(fingerprint);
      this.options.onReleased(fingerprint);
    }
  }

  /** Writes a block again whose key is missing: its lease lapsed in an outage, or the store lost it. */
  private rewrite(fingerprint: string): void {
    const { clock, logger, random, list } = this.options;
    const remainingMs = list().find((block) => block.fingerprint === fingerprint)?.remainingMs ?? 0;
    if (remainingMs > LEASE_SLACK_MS) {
      const delayMs = random() * REWRITE_SPREAD_MS;
      const release = this.decidedAfter.get(fingerprint);
      logger.event('blockMissing', { fingerprint, remainingMs: Math.round(remainingMs), wallMs: clock.wallMs() });
      this.store.publish(fingerprint, { lastsMs: remainingMs, delayMs, release });
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
 * Creates the sharing of blocks. What one host blocks holds on all of them: it is told at once to those that are listed,
 * kept in the store for hosts that start or were cut off, and passed from host to host while the store is away. Only a
 * release ends a block before its time; a key that is missing is written again by a host that holds the block.
 *
 * @param options - store, links, and the blocks of this host
 * @returns the sharing; close it to stop its writes
 */
export default function createBlockSharing(options: BlockSharingOptions): BlockSharing {
  return new Sharing(options);
}
