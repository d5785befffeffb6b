import { Observable } from 'rxjs';
import type { Clock } from '@bergamotcove/clock';
import BackendError from '../BackendError.js';
import createBreaker from './createBreaker.js';
import type { StoreClient, WatchEvent } from './types.js';

/** Options of {@link createGuardedStore}. */
export interface GuardedStoreOptions {
  readonly clock: Clock;
  readonly random: () => number;
}

/** Retries that one call adds to the budget; the store sees at most a tenth more calls because of retries. */
const RETRIES_PER_CALL = 0.1;

/** Retries that may follow each other at once after a quiet time. */
const RETRY_BURST = 10;

const MAX_ATTEMPTS = 3;

/** First wait before a retry; the store answers in milliseconds. */
const BACKOFF_MS = 20;

/** Whether a second call cannot repeat an effect. */
type Repeat = 'always' | 'if-not-sent';

const mayRepeat = (cause: unknown, repeat: Repeat): boolean =>
  cause instanceof BackendError &&
  (cause.code === 'unavailable' || (repeat === 'always' && cause.code === 'outcome-unknown'));

/** An error answer that names the call as wrong shows that the store works. */
const showsOutage = (cause: unknown): boolean =>
  !(cause instanceof BackendError) || cause.code === 'unavailable' || cause.code === 'outcome-unknown';

/** Runs calls within the budget of retries and the breaker. */
class CallGuard {
  private readonly breaker;

  private retries = RETRY_BURST;

  constructor(private readonly options: GuardedStoreOptions) {
    this.breaker = createBreaker(options);
  }

  isOpen(): boolean {
    return this.breaker.state() === 'open';
  }

  async run<Result>(call: () => Promise<Result>, repeat: Repeat, attempt = 1): Promise<Result> {
    if (!this.breaker.allow()) {
      throw new BackendError('unavailable', 'the store does not answer; calls wait for a trial call to succeed');
    }
    try {
      const result = await call();
      this.breaker.note('ok');
      this.retries = Math.min(RETRY_BURST, this.retries + RETRIES_PER_CALL);
      return result;
    } catch (cause) {
      this.breaker.note(showsOutage(cause) ? 'failed' : 'ok');
      if (!mayRepeat(cause, repeat) || attempt >= MAX_ATTEMPTS || this.retries < 1 || this.isOpen()) {
        throw cause;
      }
    }
    this.retries -= 1;
    await this.backOff(attempt);
    return this.run(call, repeat, attempt + 1);
  }

  private backOff(attempt: number): Promise<void> {
    const { clock, random } = this.options;
    return new Promise((resolve) => {
      clock.schedule(BACKOFF_MS * 2 ** attempt * random(), resolve);
    });
  }
}

const watchGuarded = (
  store: StoreClient,
  guard: CallGuard,
  ...[prefix, from, limits]: Parameters<StoreClient['watch']>
): Observable<WatchEvent> =>
  new Observable((subscriber) => {
    if (guard.isOpen()) {
      subscriber.error(new BackendError('unavailable', 'the store does not answer; no watch is started'));
      return undefined;
    }
    return store.watch(prefix, from, limits).subscribe(subscriber);
  });

/**
 * Puts the one retry budget and the one breaker of a host in front of the store. Reads and lease renewals are retried;
 * a write is retried only if it was never sent, because a lost reply may hide its effect.
 *
 * @param store - store client
 * @param options - clock and random numbers
 * @returns a client with the same interface
 * @example
 * const store = createGuardedStore(createStoreClient(settings.store), { clock, random: Math.random });
 */
export default function createGuardedStore(store: StoreClient, options: GuardedStoreOptions): StoreClient {
  const guard = new CallGuard(options);
  return {
    get: (key) => guard.run(() => store.get(key), 'always'),
    range: (prefix, bounds) => guard.run(() => store.range(prefix, bounds), 'always'),
    txn: (compares, success, failure) => guard.run(() => store.txn(compares, success, failure), 'if-not-sent'),
    watch: (prefix, fromRevision, limits) => watchGuarded(store, guard, prefix, fromRevision, limits),
    grantLease: (ttlMs) => guard.run(() => store.grantLease(ttlMs), 'if-not-sent'),
    keepAlive: (leaseId) => guard.run(() => store.keepAlive(leaseId), 'always'),
    revokeLease: (leaseId) => guard.run(() => store.revokeLease(leaseId), 'always'),
    close: () => store.close(),
  };
}
