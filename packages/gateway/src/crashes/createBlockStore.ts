import type { StoreClient } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';

/** Keeps blocked requests in the store, so that hosts which start know them. */
export interface BlockStore {
  /** Writes a block unless the store has it by then. */
  publish(fingerprint: string, block: PublishedBlock): void;
  /** The store has the block. */
  noteStored(fingerprint: string): void;
  close(): void;
}

/** A block that is to be written. */
export interface PublishedBlock {
  /** Time for which it holds. */
  readonly lastsMs: number;
  /** Time for which another host may write it first. */
  readonly delayMs: number;
}

/** Options of {@link createBlockStore}. */
export interface BlockStoreOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<StoreClient, 'grantLease' | 'txn' | 'revokeLease'>;
  readonly prefix: string;
  readonly hostId: string;
}

/** Pause after a write that the store did not take. */
const RETRY_MS = 1_000;

class Blocks implements BlockStore {
  /** Blocks that are not in the store yet, with the time of the next write. */
  private readonly waiting = new Map<string, Timer>();

  constructor(private readonly options: BlockStoreOptions) {}

  publish(fingerprint: string, { lastsMs, delayMs }: PublishedBlock): void {
    const { clock } = this.options;
    const endsAtMs = clock.monotonicMs() + lastsMs;
    this.noteStored(fingerprint);
    this.waiting.set(
      fingerprint,
      clock.schedule(delayMs, () => {
        this.write(fingerprint, endsAtMs).catch(() => undefined);
      }),
    );
  }

  noteStored(fingerprint: string): void {
    this.waiting.get(fingerprint)?.close();
    this.waiting.delete(fingerprint);
  }

  close(): void {
    this.waiting.forEach((timer) => timer.close());
    this.waiting.clear();
  }

  private async write(fingerprint: string, endsAtMs: number): Promise<void> {
    const { clock, logger, store, prefix, hostId } = this.options;
    const lastsMs = endsAtMs - clock.monotonicMs();
    if (lastsMs <= 0) {
      this.noteStored(fingerprint);
      return;
    }
    const key = `${prefix}${fingerprint}`;
    try {
      const leaseId = await store.grantLease(Math.ceil(lastsMs));
      const { succeeded } = await store.txn(
        [{ type: 'create-revision', key, revision: '0' }],
        [{ type: 'put', key, value: JSON.stringify({ decidedBy: hostId }), leaseId }],
      );
      this.noteStored(fingerprint);
      if (!succeeded) {
        // Another host has written it.
        await store.revokeLease(leaseId);
      }
    } catch (cause) {
      logger.event('blockNotStored', { fingerprint, error: toError(cause).message });
      if (this.waiting.has(fingerprint)) {
        this.publish(fingerprint, { lastsMs: endsAtMs - clock.monotonicMs(), delayMs: RETRY_MS });
      }
    }
  }
}

/**
 * Creates the store of blocks: one key each, under a lease that ends with the block.
 *
 * @param options - store and prefix of the keys
 * @returns the store; close it to stop its writes
 */
export default function createBlockStore(options: BlockStoreOptions): BlockStore {
  return new Blocks(options);
}
