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
  /** Writes the word of a release again unless the store has it by then. */
  rewriteRelease(fingerprint: string, release: { readonly text: string; readonly delayMs: number }): void;
  /** The store has the word of a release. */
  cancelRelease(fingerprint: string): void;
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

/** A key that is to be written. */
interface Write {
  readonly fingerprint: string;
  readonly key: string;
  /** Monotonic time until which it holds. */
  readonly endsAtMs: number;
  readonly format: (lastsMs: number) => string;
}

class Blocks implements BlockStore {
  /** Keys that are not in the store yet, with the time of the next write. */
  private readonly waiting = new Map<string, Timer>();

  constructor(private readonly options: BlockStoreOptions) {}

  publish(fingerprint: string, { lastsMs, delayMs, release }: PublishedBlock): void {
    const { clock, hostId } = this.options;
    const format = (remainingMs: number): string =>
      formatBlock({ decidedBy: hostId, endsAtMs: Math.round(clock.wallMs() + remainingMs), release });
    const endsAtMs = clock.monotonicMs() + lastsMs;
    this.schedule({ fingerprint, key: this.keyOfBlock(fingerprint), endsAtMs, format }, delayMs);
  }

  cancel(fingerprint: string): void {
    this.stop(this.keyOfBlock(fingerprint));
  }

  rewriteRelease(fingerprint: string, { text, delayMs }: { readonly text: string; readonly delayMs: number }): void {
    const endsAtMs = this.options.clock.monotonicMs() + POISON_BLOCK_MS;
    this.schedule({ fingerprint, key: this.keyOfRelease(fingerprint), endsAtMs, format: () => text }, delayMs);
  }

  cancelRelease(fingerprint: string): void {
    this.stop(this.keyOfRelease(fingerprint));
  }

  async release(fingerprint: string): Promise<string> {
    const { clock, store, hostId } = this.options;
    const word = JSON.stringify({ releasedBy: hostId, atMs: clock.wallMs() });
    // A block that was decided before lasts no longer than this.
    const leaseId = await store.grantLease(POISON_BLOCK_MS);
    await store.txn(
      [],
      [
        { type: 'put', key: this.keyOfRelease(fingerprint), value: word, leaseId },
        { type: 'delete', key: this.keyOfBlock(fingerprint) },
      ],
    );
    return word;
  }

  close(): void {
    this.waiting.forEach((timer) => timer.close());
    this.waiting.clear();
  }

  private keyOfBlock(fingerprint: string): string {
    return `${this.options.prefixes.blocks}${fingerprint}`;
  }

  private keyOfRelease(fingerprint: string): string {
    return `${this.options.prefixes.releases}${fingerprint}`;
  }

  private schedule(write: Write, delayMs: number): void {
    this.stop(write.key);
    const timer = this.options.clock.schedule(delayMs, () => {
      this.write(write).catch(() => undefined);
    });
    this.waiting.set(write.key, timer);
  }

  private stop(key: string): void {
    this.waiting.get(key)?.close();
    this.waiting.delete(key);
  }

  private async write(write: Write): Promise<void> {
    const { clock, logger, store } = this.options;
    const { fingerprint, key, endsAtMs, format } = write;
    const lastsMs = endsAtMs - clock.monotonicMs();
    if (lastsMs <= 0) {
      this.stop(key);
      return;
    }
    try {
      const leaseId = await store.grantLease(Math.ceil(lastsMs));
      const { succeeded } = await store.txn(
        [{ type: 'create-revision', key, revision: '0' }],
        [{ type: 'put', key, value: format(lastsMs), leaseId }],
      );
      this.stop(key);
      if (!succeeded) {
        // Another host has written it.
        await store.revokeLease(leaseId);
      }
    } catch (cause) {
      logger.event('blockNotStored', { fingerprint, error: toError(cause).message });
      if (this.waiting.has(key)) {
        this.schedule(write, RETRY_MS);
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
