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

/** Retries that one successful call adds to the budget, so that retries add at most a tenth to the calls. */
const RETRIES_PER_CALL = 0.1;

/** Largest retry budget: retries that are possible in one burst. */
const RETRY_BURST = 10;

const MAX_ATTEMPTS = 3;

/** Base of the exponential back-off; the store usually answers within milliseconds. */
const BACKOFF_MS = 20;

/** When a failed call may be retried: `always` for an idempotent call, else only if it was never sent. */
type RetryPolicy = 'always' | 'if-not-sent';

const isRetryable = (cause: unknown, policy: RetryPolicy): boolean =>
  cause instanceof BackendError &&
  (cause.code === 'unavailable' || (policy === 'always' && cause.code === 'outcome-unknown'));

/** Whether a failure indicates an outage; any other error answer proves that the store is working. */
const indicatesOutage = (cause: unknown): boolean =>
  !(cause instanceof BackendError) || cause.code === 'unavailable' || cause.code === 'outcome-unknown';

/** Runs calls within the retry budget and the circuit breaker. */
class CallGuard {
  private readonly breaker;

  private retryTokens = RETRY_BURST;

  constructor(private readonly options: GuardedStoreOptions) {
    this.breaker = createBreaker(options);
  }

  isOpen(): boolean {
    return this.breaker.state() === 'open';
  }

  async run<Result>(call: () => Promise<Result>, policy: RetryPolicy, attempt = 1): Promise<Result> {
    if (!this.breaker.allow()) {
      throw new BackendError(
        'unavailable',
        'the store does not answer; calls are rejected until a trial call succeeds',
      );
    }
    try {
      const result = await call();
      this.breaker.record('ok');
      this.retryTokens = Math.min(RETRY_BURST, this.retryTokens + RETRIES_PER_CALL);
      return result;
    } catch (cause) {
      this.breaker.record(indicatesOutage(cause) ? 'failed' : 'ok');
      if (!isRetryable(cause, policy) || attempt >= MAX_ATTEMPTS || this.retryTokens < 1 || this.isOpen()) {
        throw cause;
      }
    }
    this.retryTokens -= 1;
    await this.backOff(attempt);
    return this.run(call, policy, attempt + 1);
  }

  private backOff(attempt: number): Promise<void> {
    const { clock, random } = this.options;
    return new Promise((resolve) => {
      clock.schedule(BACKOFF_MS * 2 ** attempt * random(), resolve);
    });
  }
}

const watchUnlessOpen = (
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
 * Adds one retry budget and one circuit breaker, shared by all calls of a host, to a store client. Reads and lease
 * renewals are retried. A write is retried only if it was never sent, because without an answer it may have taken effect.
 *
 * @param store - store client
 * @param options - clock and random numbers
 * @returns a store client with retries and a circuit breaker
 * @example
 * const store = createGuardedStore(createStoreClient(settings.store), { clock, random: Math.random });
 */
export default function createGuardedStore(store: StoreClient, options: GuardedStoreOptions): StoreClient {
  const guard = new CallGuard(options);
  return {
    get: (key) => guard.run(() => store.get(key), 'always'),
    range: (prefix, bounds) => guard.run(() => store.range(prefix, bounds), 'always'),
    txn: (compares, success, failure) => guard.run(() => store.txn(compares, success, failure), 'if-not-sent'),
    watch: (prefix, fromRevision, limits) => watchUnlessOpen(store, guard, prefix, fromRevision, limits),
    grantLease: (ttlMs) => guard.run(() => store.grantLease(ttlMs), 'if-not-sent'),
    keepAlive: (leaseId) => guard.run(() => store.keepAlive(leaseId), 'always'),
    revokeLease: (leaseId) => guard.run(() => store.revokeLease(leaseId), 'always'),
    close: () => store.close(),
  };
}
