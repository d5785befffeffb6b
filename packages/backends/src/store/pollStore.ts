import { setTimeout as delay } from 'node:timers/promises';
import { Observable } from 'rxjs';
import { createSystemClock } from '@bergamotcove/clock';
import { toError } from '@bergamotcove/errors';
import { reserveFromBucket, type Bucket } from '@bergamotcove/decide';
import { TransportError, type HttpClient, type Target } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';
import fetchAnswer, { type AnswerLimits } from './_lib/fetchAnswer.js';
import type { StoreCall, WatchOptions } from './dialect.js';
import type { WatchEvent } from './types.js';

/** Answer to one poll of a watch. */
export interface WatchPoll {
  readonly events: readonly WatchEvent[];
  /** All changes up to this revision are in this answer or in earlier ones. */
  readonly revision: string;
}

/** Options of {@link pollStore}. */
export interface PollOptions extends WatchOptions {
  /** Longest time for which the store may delay its answer while there are no events. */
  readonly waitMs: number;
  /** Formats a call that waits at most `waitMs` for events after the revision. */
  readonly format: (afterRevision: string, waitMs: number) => StoreCall<WatchPoll>;
}

/** Time limit for the headers of an answer, on top of the time for which the store may delay it. */
const ANSWER_TIMEOUT_MS = 700;

/**
 * Rate limit of polls (token bucket). All hosts watch the same keys, so without a limit the number of calls while a
 * fleet starts would grow with the square of its size. Changes that occur in the meantime arrive in one answer.
 */
const CALL_RATE = { ratePerSecond: 2, capacity: 3 };

/** Classifies the failure of a poll. History that exceeds the size of an answer would exceed it on each further poll. */
const toBackendError = (cause: unknown): BackendError => {
  if (cause instanceof BackendError) {
    return cause;
  }
  return cause instanceof TransportError && cause.code === 'too-large'
    ? new BackendError('compacted', 'the history is too large to be read', { cause })
    : new BackendError('unavailable', 'the watch broke', { cause: toError(cause) });
};

const poll = async (
  http: HttpClient,
  target: Target,
  { method, path, read }: StoreCall<WatchPoll>,
  { limits, era, readEra }: Pick<PollOptions, 'era' | 'readEra'> & { readonly limits: AnswerLimits },
): Promise<WatchPoll> => {
  const { status, body, headers } = await fetchAnswer(http, target, { method, path }, limits);
  const answerEra = readEra(headers);
  if (era !== undefined && answerEra !== era) {
    throw new BackendError('compacted', 'the store was restored from an older copy');
  }
  return read(status, body);
};

/**
 * Watches a store by long polling. A change after a quiet period is reported immediately; frequent changes are collected
 * into at most two answers a second.
 *
 * @param http - HTTP client
 * @param target - address of the store
 * @param options - prefix, first revision and format of a call
 * @returns the changes, and the revision that each answer reaches; fails with BackendError when a call fails,
 *   `compacted` when the changes since the last revision cannot be read
 */
export default function pollStore(http: HttpClient, target: Target, options: PollOptions): Observable<WatchEvent> {
  const clock = createSystemClock();
  return new Observable((subscriber) => {
    let abort = new AbortController();
    let closed = false;
    const run = async (): Promise<void> => {
      let revision = String(Number(options.fromRevision) - 1);
      // The store answers the first call without delay, so that an unreachable store is detected soon.
      let waitMs = 0;
      let bucket: Bucket | undefined;
      while (!closed) {
        const current = new AbortController();
        abort = current;
        const reservation = reserveFromBucket(bucket, CALL_RATE, { amount: 1, nowMs: clock.monotonicMs() });
        bucket = reservation.bucket;
        // eslint-disable-next-line no-await-in-loop
        await delay(reservation.waitMs, undefined, { signal: current.signal });
        const limits = { headTimeoutMs: waitMs + ANSWER_TIMEOUT_MS, abort: current };
        // Each call starts at the revision that the previous answer reached.
        // eslint-disable-next-line no-await-in-loop
        const answer = await poll(http, target, options.format(revision, waitMs), { ...options, limits });
        revision = answer.revision;
        waitMs = options.waitMs;
        answer.events.forEach((event) => subscriber.next(event));
        subscriber.next({ type: 'started', revision });
      }
    };
    run().catch((cause: unknown) => subscriber.error(toBackendError(cause)));
    return () => {
      closed = true;
      abort.abort();
    };
  });
}
