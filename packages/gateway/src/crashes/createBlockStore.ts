import type { StoreClient } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import { formatBlock } from './blockTexts.js';

/** Keeps blocked requests in the store, so that hosts which start know them. */
export interface BlockStore {
  /** Writes a block unless the store has it by then. */
  publish(fingerprint: string, block: PublishedBlock): void;
  /** The store has the block, or nobody needs it any more. */
  cancel(fingerprint: string): void;
  /** Removes a block, and leaves word of it for hosts that do not hear of it now; returns the word. */
  release(fingerprint: string): Promise<string>;
  close(): void;
}

/** A block that is to be written. */
export interface PublishedBlock {
  /** Time for which it holds. */
  readonly lastsMs: number;
  /** Time for which another host may write it first. */
  readonly delayMs: number;
  /** Latest release that was known when it was decided. */
  readonly release: string | undefined;
}

/** Options of {@link createBlockStore}. */
export interface BlockStoreOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<StoreClient, 'grantLease' | 'txn' | 'revokeLease'>;
  /** Prefixes of the keys of blocks and of releases. */
  readonly prefixes: BlockPrefixes;
  readonly hostId: string;
}

/** Prefixes of keys. */
export interface BlockPrefixes {
  readonly blocks: string;
  readonly releases: string;
}

/** Pause after a write that the store did not take. */
const RETRY_MS = 1_000;

class Blocks implements BlockStore {
  /** Blocks that are not in the store yet, with the time of the next write. */
  private readonly waiting = new Map<string, Timer>();

  constructor(private readonly options: BlockStoreOptions) {}

  publish(fingerprint: string, { lastsMs, delayMs, release }: PublishedBlock): void {
    const { clock } = this.options;
    const endsAtMs = clock.monotonicMs() + lastsMs;
    this.cancel(fingerprint);
    this.waiting.set(
      fingerprint,
      clock.schedule(delayMs, () => {
        this.write(fingerprint, endsAtMs, release).catch(() => undefined);
      }),
    );
  }

  cancel(fingerprint: string): void {
    this.waiting.get(fingerprint)?.close();
    this.waiting.delete(fingerprint);
  }

  async release(fingerprint: string): Promise<string> {
    const { clock, store, prefixes, hostId } = this.options;
    const word = JSON.stringify({ releasedBy: hostId, atMs: clock.wallMs() });
    // A block that was decided before lasts no longer than this.
    const leaseId = await store.grantLease(POISON_BLOCK_MS);
    await store.txn(
      [],
      [
        { type: 'put', key: `${prefixes.releases}${fingerprint}`, value: word, leaseId },
        { type: 'delete', key: `${prefixes.blocks}${fingerprint}` },
      ],
    );
    return word;
  }

  close(): void {
    this.waiting.forEach((timer) => timer.close());
    this.waiting.clear();
  }

  private async write(fingerprint: string, endsAtMs: number, release: string | undefined): Promise<void> {
    const { clock, logger, store, prefixes, hostId } = this.options;
    const lastsMs = endsAtMs - clock.monotonicMs();
    if (lastsMs <= 0) {
      this.cancel(fingerprint);
      return;
    }
    const key = `${prefixes.blocks}${fingerprint}`;
    const value = formatBlock({ decidedBy: hostId, endsAtMs: Math.round(clock.wallMs() + lastsMs), release });
    try {
      const leaseId = await store.grantLease(Math.ceil(lastsMs));
      const { succeeded } = await store.txn(
        [{ type: 'create-revision', key, revision: '0' }],
        [{ type: 'put', key, value, leaseId }],
      );
      this.cancel(fingerprint);
      if (!succeeded) {
        // Another host has written it.
        await store.revokeLease(leaseId);
      }
    } catch (cause) {
      logger.event('blockNotStored', { fingerprint, error: toError(cause).message });
      if (this.waiting.has(fingerprint)) {
        this.publish(fingerprint, { lastsMs: endsAtMs - clock.monotonicMs(), delayMs: RETRY_MS, release });
      }
    }
  }
}

/**
 * Creates the store of blocks: one key each, under a lease that ends with the block.
 *
 * @param options - store and prefixes of the keys
 * @returns the store; close it to stop its writes
 */
export default function createBlockStore(options: BlockStoreOptions): BlockStore {
  return new Blocks(options);
}
