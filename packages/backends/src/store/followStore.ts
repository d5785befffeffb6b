import type { Subscription } from 'rxjs';
import type { Clock, Timer } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import BackendError from '../BackendError.js';
import type { RangeResult, StoreClient, StoreEntry, WatchEvent, WatchLimits } from './types.js';

/** Options of {@link followStore}. */
export interface StoreFollowerOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly store: Pick<StoreClient, 'range' | 'watch'>;
  readonly prefix: string;
  /** Exclusive end of the entries that are read; the watch reports changes of all keys with the prefix. */
  readonly rangeEnd?: string;
  /** Revision up to which the caller knows the entries; without it, the entries are read first. */
  readonly knownRevision?: string;
  /** Era to which the known revision belongs. */
  readonly knownEra?: number;
  /** Returns the limits of a new watch. */
  readonly limits?: () => WatchLimits;
  /** Called with all entries after each read; keys that are not among them do not exist. */
  readonly onSnapshot: (entries: readonly StoreEntry[], revision: string, era: number | undefined) => void;
  readonly onPut: (entry: StoreEntry) => void;
  readonly onDelete: (key: string, revision: string) => void;
  /** Called when all changes up to this revision were reported. */
  readonly onReached?: (revision: string) => void;
  /** Called when a call fails. */
  readonly onFailed?: () => void;
  /** Called when the store stops answering, with the message of the first failure. */
  readonly onLost: (reason: string) => void;
  /** Called when the store answers for the first time, or again after a failure. */
  readonly onFound: () => void;
  /** Called with each exception of the callbacks that receive entries; all entries are read again after it. */
  readonly onFault?: (error: Error) => void;
}

/** Follows the entries of the store under a prefix. */
export interface StoreFollower {
  /** Reads all entries again immediately, for instance because a connection may be dead. */
  refresh(): void;
  /** Restarts the watch, because its connection may be dead; does nothing while the store does not answer. */
  probe(): void;
  /** Revision up to which the entries are known, or undefined before the first read. */
  revision(): string | undefined;
  close(): void;
}

const FIRST_RETRY_MS = 60;
const MAX_RETRY_MS = 600;

class Follower implements StoreFollower {
  private knownRevision: string | undefined;

  private knownEra: number | undefined;

  private watchSubscription: Subscription | undefined;

  private timer: Timer | undefined;

  private failures = 0;

  private connected = false;

  private closed = false;

  /** Incremented to invalidate reads in progress, so that the answer of an older one is dropped. */
  private readNumber = 0;

  constructor(private readonly options: StoreFollowerOptions) {
    this.knownRevision = options.knownRevision;
    this.knownEra = options.knownEra;
  }

  start(): void {
    if (this.knownRevision === undefined) {
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
    if (this.connected && this.watchSubscription !== undefined && !this.closed) {
      this.watchSubscription.unsubscribe();
      this.watch();
    }
  }

  revision(): string | undefined {
    return this.knownRevision;
  }

  close(): void {
    this.closed = true;
    this.stop();
  }

  private stop(): void {
    this.readNumber += 1;
    this.timer?.close();
    this.watchSubscription?.unsubscribe();
    this.watchSubscription = undefined;
  }

  private read(): void {
    const { readNumber } = this;
    const { prefix, rangeEnd } = this.options;
    this.options.store.range(prefix, rangeEnd === undefined ? {} : { rangeEnd }).then(
      (read) => {
        if (readNumber === this.readNumber) {
          this.contain(() => this.handleRead(read));
        }
        // The callback may have closed the follower.
        if (readNumber === this.readNumber) {
          this.watch();
        }
      },
      (cause: unknown) => {
        if (readNumber === this.readNumber) {
          this.handleFailure(toError(cause), () => this.read());
        }
      },
    );
  }

  private handleRead({ entries, revision, era }: RangeResult): void {
    this.handleAnswer();
    this.knownRevision = revision;
    this.knownEra = era;
    this.options.onSnapshot(entries, revision, era);
  }

  private watch(): void {
    const fromRevision = String(Number(this.knownRevision) + 1);
    const limits = { ...this.options.limits?.(), ...(this.knownEra === undefined ? {} : { era: this.knownEra }) };
    this.watchSubscription = this.options.store.watch(this.options.prefix, fromRevision, limits).subscribe({
      next: (event) => this.contain(() => this.handleEvent(event)),
      error: (cause: Error) => {
        const compacted = cause instanceof BackendError && cause.code === 'compacted';
        this.handleFailure(cause, () => (compacted ? this.read() : this.watch()));
      },
    });
  }

  private handleEvent(event: WatchEvent): void {
    this.handleAnswer();
    switch (event.type) {
      case 'put':
        this.options.onPut(event.entry);
        break;
      case 'delete':
        this.options.onDelete(event.key, event.revision ?? this.knownRevision ?? '0');
        break;
      default:
        this.knownRevision = event.revision;
        this.options.onReached?.(event.revision);
    }
  }

  /** Runs a callback. Its exception may have left a change out, so all entries are read again after a while. */
  private contain(run: () => void): void {
    try {
      run();
    } catch (cause) {
      this.stop();
      this.options.onFault?.(toError(cause));
      if (!this.closed) {
        this.timer = this.options.clock.schedule(MAX_RETRY_MS, () => this.read());
      }
    }
  }

  private handleAnswer(): void {
    this.failures = 0;
    if (!this.connected) {
      this.connected = true;
      this.options.onFound();
    }
  }

  private handleFailure(cause: Error, retry: () => void): void {
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
    // The callback may have closed the follower.
    if (this.closed) {
      return;
    }
    const delayMs = compacted ? 0 : Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** this.failures);
    this.failures += 1;
    this.timer = this.options.clock.schedule(delayMs * (0.5 + this.options.random()), retry);
  }
}

/**
 * Follows the entries of the store under a prefix: one read, then a watch. A broken watch is resumed at the last known
 * revision; when the store has discarded that history, the follower reads all entries again.
 *
 * @param options - store, prefix and callbacks
 * @returns the follower; close it to stop
 */
export default function followStore(options: StoreFollowerOptions): StoreFollower {
  const follower = new Follower(options);
  follower.start();
  return follower;
}
