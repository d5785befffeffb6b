import type { Clock } from '@bergamotcove/clock';

/** Rate limit for calls: a token bucket whose capacity is one second of calls. */
export interface TokenBucket {
  /** Takes one token; false when none is available. */
  take(): boolean;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a full token bucket.
 *
 * @param clock - clock by which the bucket is refilled
 * @param callsPerSecond - refill rate and capacity; unlimited when undefined
 * @returns the token bucket
 */
export default function createTokenBucket(clock: Clock, callsPerSecond: number | undefined): TokenBucket {
  if (callsPerSecond === undefined) {
    return { take: () => true };
  }
  let available = callsPerSecond;
  let refilledAtMs = clock.monotonicMs();
  return {
    take: () => {
      const nowMs = clock.monotonicMs();
      available = Math.min(callsPerSecond, available + ((nowMs - refilledAtMs) / MS_PER_SECOND) * callsPerSecond);
      refilledAtMs = nowMs;
      if (available < 1) {
        return false;
      }
      available -= 1;
      return true;
    },
  };
}
