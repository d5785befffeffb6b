import { LRUCache } from 'lru-cache';
import reserveFromBucket from '../budget/reserveFromBucket.js';
import type { Bucket } from '../budget/types.js';
import type { LimitShare } from './types.js';

/** Rate limiter of the organisations at one entry host. */
export interface Limiter {
  /** Reserves one request of the given cost under the limits of its organisation. */
  reserve(organisation: string, share: LimitShare, costTokens: number, nowMs: number): LimitReservation;
}

/** Reservation under the limits of an organisation. */
export interface LimitReservation {
  /** Time until the request is within the limits. */
  readonly waitMs: number;
  /** Cancels the reservation; valid only before the next reservation of the organisation. */
  cancel(): void;
}

/**
 * Burst, in seconds of the limit. In a window of W seconds an organisation gets at most `limit * (W + BURST_SECONDS)`,
 * which is the documented bound on the excess. The burst absorbs the uneven distribution of requests over hosts by the
 * balancer.
 */
export const BURST_SECONDS = 1;

const MAX_ORGANISATIONS = 20_000;

interface Buckets {
  readonly requests: Bucket;
  readonly tokens: Bucket;
}

const toSpec = (ratePerSecond: number) => ({ ratePerSecond, capacity: Math.max(1, ratePerSecond * BURST_SECONDS) });

/**
 * Creates the rate limiter of the organisations.
 *
 * @returns the limiter
 * @example
 * const { waitMs } = limiter.reserve('acme', share, 120, nowMs);
 */
export default function createLimiter(): Limiter {
  const buckets = new LRUCache<string, Buckets>({ max: MAX_ORGANISATIONS });
  return {
    reserve: (organisation, share, costTokens, nowMs) => {
      const known = buckets.get(organisation);
      const requests = reserveFromBucket(known?.requests, toSpec(share.requestsPerSecond), { amount: 1, nowMs });
      const tokens = reserveFromBucket(known?.tokens, toSpec(share.tokensPerSecond), { amount: costTokens, nowMs });
      buckets.set(organisation, { requests: requests.bucket, tokens: tokens.bucket });
      return {
        waitMs: Math.max(requests.waitMs, tokens.waitMs),
        cancel: () => {
          if (known === undefined) {
            buckets.delete(organisation);
          } else {
            buckets.set(organisation, known);
          }
        },
      };
    },
  };
}
