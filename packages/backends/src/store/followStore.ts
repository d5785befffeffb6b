import type { Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import BackendError from '../BackendError.js';
import type { StoreClient, StoreEntry, WatchLimits } from './types.js';

/** Options of {@link followStore}. */
export interface StoreFollowerOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly store: Pick<StoreClient, 'range' | 'watch'>;
  readonly prefix: string;
  /** Revision up to which the entries are known already; without it they are read first. */
  readonly knownRevision?: string;
  /** Era in which the known revision counts. */
  readonly knownEra?: number;
  /** Limits of the watches. */
  readonly limits?: () => WatchLimits;
  /** All entries as of a read; whatever is not among them does not exist. */
  readonly onSnapshot: (entries: readonly StoreEntry[], revision: string, era: number | undefined) => void;
  readonly onPut: (entry: StoreEntry) => void;
  readonly onDelete: (key: string, revision: string) => void;
  /** Everything up to this revision was reported. */
  readonly onReached?: (revision: string) => void;
  /** A call failed. */
  readonly onFailed?: () => void;
  /** The store stopped answering, with the reason of the first failure. */
  readonly onLost: (reason: string) => void;
  /** The store answers again, or for the first time. */
  readonly onFound: () => void;
}

/** Follows the entries of the store under a prefix. */
export interface StoreFollower {
  /** Reads everything again at once, for instance because a connection may be silent. */
  refresh(): void;
  /** Makes the watch anew, because its connection may be silent; does nothing while the store is known to be lost. */
  probe(): void;
  /** Revision up to which the entries are known, or undefined before the first read. */
  revision(): string | undefined;
  close(): void;
}

const FIRST_RETRY_MS = 60;
const MAX_RETRY_MS = 600;

class Follower implements StoreFollower {
  private known: string | undefined;

  private era: number | undefined;

  private watching: Subscription | undefined;

  private timer: Timer | undefined;

  private failures = 0;

  private connected = false;

  private closed = false;

  /** Grows with each read, so that the answer of an older one is dropped. */
  private round = 0;

  constructor(private readonly options: StoreFollowerOptions) {
    this.known = options.knownRevision;
    this.era = options.knownEra;
  }

  start(): void {
    if (this.known === undefined) {
      this.read();
    } else {
      this.watch();
    }
  }

  refresh(): void {
    this.stop();
    this.read();
  }

  probe(): void {
    if (this.connected && this.watching !== undefined && !this.closed) {
      this.watching.unsubscribe();
      this.watch();
    }
  }

  revision(): string | undefined {
    return this.known;
  }

  close(): void {
    this.closed = true;
    this.stop();
  }

  private stop(): void {
    this.round += 1;
    this.timer?.close();
    this.watching?.unsubscribe();
    this.watching = undefined;
  }

  private read(): void {
    const { round } = this;
    this.options.store.range(this.options.prefix).then(
      ({ entries, revision, era }) => {
        if (round === this.round) {
          this.noteAnswer();
          this.known = revision;
          this.era = era;
          this.options.onSnapshot(entries, revision, era);
        }
        // The receiver may have closed the follower.
        if (round === this.round) {
          this.watch();
        }
      },
      (cause: unknown) => {
        if (round === this.round) {
          this.fail(toError(cause), () => this.read());
        }
      },
    );
  }

  private watch(): void {
    const fromRevision = String(Number(this.known) + 1);
    const limits = { ...this.options.limits?.(), ...(this.era === undefined ? {} : { era: this.era }) };
    this.watching = this.options.store.watch(this.options.prefix, fromRevision, limits).subscribe({
      next: (event) => {
        this.noteAnswer();
        switch (event.type) {
          case 'put':
            this.options.onPut(event.entry);
            break;
          case 'delete':
            this.options.onDelete(event.key, event.revision ?? this.known ?? '0');
            break;
          default:
            this.known = event.revision;
            this.options.onReached?.(event.revision);
        }
      },
      error: (cause: Error) => {
        const compacted = cause instanceof BackendError && cause.code === 'compacted';
        this.fail(cause, () => (compacted ? this.read() : this.watch()));
      },
    });
  }

  private noteAnswer(): void {
    this.failures = 0;
    if (!this.connected) {
      this.connected = true;
      this.options.onFound();
    }
  }

  private fail(cause: Error, retry: () => void): void {
    if (this.closed) {
      return;
    }
    const compacted = cause instanceof BackendError && cause.code === 'compacted';
    if (this.connected && !compacted) {
      this.connected = false;
      this.options.onLost(cause.message);
    }
    if (!compacted) {
      this.options.onFailed?.();
    }
    // The receiver may have closed the follower.
    if (this.closed) {
      return;
    }
    const delayMs = compacted ? 0 : Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** this.failures);
    this.failures += 1;
    this.timer = this.options.clock.schedule(delayMs * (0.5 + this.options.random()), retry);
  }
}

/**
 * Follows the entries of the store under a prefix: one read, then a watch. A watch that breaks goes on where it was; a
 * watch whose history is gone begins with a read again.
 *
 * @param options - store, prefix and receivers
 * @returns the follower; close it to stop
 */
export default function followStore(options: StoreFollowerOptions): StoreFollower {
  const follower = new Follower(options);
  follower.start();
  return follower;
}
