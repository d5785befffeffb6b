import type { StoreClient } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { POISON_BLOCK_MS } from '@bergamotcove/decide';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';
import { formatBlock } from './blockTexts.js';

/** Writes blocked requests to the store, so that starting hosts know them. */
export interface BlockStore {
  /** Writes a block after a delay, unless the store has it by then. */
  publish(fingerprint: string, block: PublishedBlock): void;
  /** Cancels the write of a block, because the store has it or it is no longer needed. */
  cancel(fingerprint: string): void;
  /**
   * Removes a block and writes an entry for its release, for hosts that are not reachable now. Returns the text of that
   * entry; rejects when the store does not accept the write.
   */
  release(fingerprint: string): Promise<string>;
  /** Writes the entry of a release again after a delay, unless the store has it by then. */
  rewriteRelease(fingerprint: string, release: { readonly text: string; readonly delayMs: number }): void;
  /** Cancels the write of a release, because the store has its entry. */
  cancelRelease(fingerprint: string): void;
  close(): void;
}

/** A block to be written. */
export interface PublishedBlock {
  /** Time for which the block is in force. */
  readonly durationMs: number;
  /** Delay before the write, in which another host may write the block first. */
  readonly delayMs: number;
  /** Latest release of the request that was known when the block was decided; undefined without one. */
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

/** Prefixes of the keys of blocks and of releases. */
export interface BlockPrefixes {
  readonly blocks: string;
  readonly releases: string;
}

/** Delay before a failed write is retried. */
const RETRY_MS = 1_000;

/** A key to be written. */
interface Write {
  readonly fingerprint: string;
  readonly key: string;
  /** Monotonic time until which the entry is in force. */
  readonly endsAtMs: number;
  readonly format: (remainingMs: number) => string;
}

class Blocks implements BlockStore {
  /** Timers of the next write of each key that is not in the store yet. */
  private readonly pendingWrites = new Map<string, Timer>();

  constructor(private readonly options: BlockStoreOptions) {}

  publish(fingerprint: string, { durationMs, delayMs, release }: PublishedBlock): void {
    const { clock, hostId } = this.options;
    const format = (remainingMs: number): string =>
      formatBlock({ decidedBy: hostId, endsAtMs: Math.round(clock.wallMs() + remainingMs), release });
    const endsAtMs = clock.monotonicMs() + durationMs;
    this.schedule({ fingerprint, key: this.keyOfBlock(fingerprint), endsAtMs, format }, delayMs);
  }

  cancel(fingerprint: string): void {
    this.cancelWrite(this.keyOfBlock(fingerprint));
  }

  rewriteRelease(fingerprint: string, { text, delayMs }: { readonly text: string; readonly delayMs: number }): void {
    const endsAtMs = this.options.clock.monotonicMs() + POISON_BLOCK_MS;
    this.schedule({ fingerprint, key: this.keyOfRelease(fingerprint), endsAtMs, format: () => text }, delayMs);
  }

  cancelRelease(fingerprint: string): void {
    this.cancelWrite(this.keyOfRelease(fingerprint));
  }

  async release(fingerprint: string): Promise<string> {
    const { clock, store, hostId } = this.options;
    const releaseText = JSON.stringify({ releasedBy: hostId, atMs: clock.wallMs() });
    // A block that was decided before the release ends within this time.
    const leaseId = await store.grantLease(POISON_BLOCK_MS);
    await store.txn(
      [],
      [
        { type: 'put', key: this.keyOfRelease(fingerprint), value: releaseText, leaseId },
        { type: 'delete', key: this.keyOfBlock(fingerprint) },
      ],
    );
    return releaseText;
  }

  close(): void {
    this.pendingWrites.forEach((timer) => timer.close());
    this.pendingWrites.clear();
  }

  private keyOfBlock(fingerprint: string): string {
    return `${this.options.prefixes.blocks}${fingerprint}`;
  }

  private keyOfRelease(fingerprint: string): string {
    return `${this.options.prefixes.releases}${fingerprint}`;
  }

  private schedule(write: Write, delayMs: number): void {
    this.cancelWrite(write.key);
    const timer = this.options.clock.schedule(delayMs, () => {
      this.write(write).catch(() => undefined);
    });
    this.pendingWrites.set(write.key, timer);
  }

  private cancelWrite(key: string): void {
    this.pendingWrites.get(key)?.close();
    this.pendingWrites.delete(key);
  }

  private async write(write: Write): Promise<void> {
    const { clock, logger, store } = this.options;
    const { fingerprint, key, endsAtMs, format } = write;
    const remainingMs = endsAtMs - clock.monotonicMs();
    if (remainingMs <= 0) {
      this.cancelWrite(key);
      return;
    }
    try {
      const leaseId = await store.grantLease(Math.ceil(remainingMs));
      const { succeeded } = await store.txn(
        [{ type: 'create-revision', key, revision: '0' }],
        [{ type: 'put', key, value: format(remainingMs), leaseId }],
      );
      this.cancelWrite(key);
      if (!succeeded) {
        // Another host has written the key.
        await store.revokeLease(leaseId);
      }
    } catch (cause) {
      logger.event('blockNotStored', { fingerprint, error: toError(cause).message });
      if (this.pendingWrites.has(key)) {
        this.schedule(write, RETRY_MS);
      }
    }
  }
}

/**
 * Creates the writer of blocks: one key for each block, under a lease that expires with the block.
 *
 * @param options - store and prefixes of the keys
 * @returns the block store; close it to cancel its pending writes
 */
export default function createBlockStore(options: BlockStoreOptions): BlockStore {
  return new Blocks(options);
}
