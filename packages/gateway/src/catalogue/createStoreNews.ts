import type { Clock } from '@bergamotcove/clock';

/** When this host last had news of the store, directly or through a relay. */
export interface StoreNews {
  /** Records news of a given age. */
  note(agoMs?: number): void;
  /** Age of the latest news; Infinity before the first. */
  ageMs(): number;
}

/**
 * Creates the record of the latest news of the store.
 *
 * @param clock - monotonic clock
 * @returns the record
 */
export default function createStoreNews(clock: Clock): StoreNews {
  let latestAtMs = -Infinity;
  return {
    note: (agoMs = 0) => {
      latestAtMs = Math.max(latestAtMs, clock.monotonicMs() - agoMs);
    },
    ageMs: () => clock.monotonicMs() - latestAtMs,
  };
}
