/** Where a host learns of changes in the store. */
export type CatalogueSource =
  /** From the store itself. */
  | { readonly type: 'store' }
  /** From relays of its failure domain. */
  | { readonly type: 'relay' }
  /** From none for now; the store is asked at the given time. */
  | { readonly type: 'none'; readonly retryAtMs: number };

/** What a host knows when it chooses its source; times are monotonic. */
export interface SourceView {
  /** Listed hosts of the failure domain, this one included. */
  readonly hosts: number;
  /** Position of this host among them, 0 first. */
  readonly rank: number;
  /** When a relay that reaches the store was last heard. */
  readonly relayAtMs: number;
  /** When any relay was last heard. */
  readonly heardAtMs: number;
  /** Since when this host has had no source. */
  readonly searchingSinceMs: number;
  /** Whether this host follows the store and the store answers. */
  readonly storeAnswers: boolean;
  /** Calls to the store that failed in a row, and the time of the last one. */
  readonly failures: number;
  readonly failedAtMs: number;
}

/** Hosts of a failure domain that follow the store and relay it to the others. */
export const RELAYS = 2;
/** In a failure domain with at most so many hosts each one follows the store. */
export const MAX_DIRECT_HOSTS = 4;
/** A relay is heard at least every second; one that is not heard for longer is lost. */
export const RELAY_LIMIT_MS = 1_700;
/** Hosts that lost their relays ask the store one after the other, so that the first answer spares the rest. */
const SPREAD_STEP_MS = 120;
const MAX_SPREAD_MS = 1_200;
/** First wait of a host after a failed call; it doubles with each further one. */
const FIRST_RETRY_MS = 500;
/** Longest wait of a host that hears nobody. */
const MAX_ALONE_RETRY_MS = 1_500;
/** Longest wait of a host that hears relays that have lost the store as well: they ask it meanwhile. */
const MAX_RETRY_MS = 6_000;

/**
 * Chooses where a host learns of changes. The first hosts of a failure domain follow the store; the others listen to
 * them, and ask the store themselves when no relay that reaches it is heard.
 *
 * @param view - what the host knows
 * @param nowMs - monotonic time
 * @returns the source
 */
export default function chooseSource(view: SourceView, nowMs: number): CatalogueSource {
  const { hosts, rank, relayAtMs, heardAtMs, searchingSinceMs, storeAnswers, failures, failedAtMs } = view;
  const isRelay = hosts <= MAX_DIRECT_HOSTS || (rank >= 0 && rank < RELAYS);
  const hearsRelay = nowMs - relayAtMs <= RELAY_LIMIT_MS;
  if (isRelay && (failures === 0 || !hearsRelay)) {
    return { type: 'store' };
  }
  if (hearsRelay) {
    const retryAtMs = failedAtMs + Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
    return isRelay && nowMs >= retryAtMs ? { type: 'store' } : { type: 'relay' };
  }
  if (storeAnswers) {
    return { type: 'store' };
  }
  const maxRetryMs = nowMs - heardAtMs <= RELAY_LIMIT_MS ? MAX_RETRY_MS : MAX_ALONE_RETRY_MS;
  const spreadMs = rank < 0 ? MAX_SPREAD_MS : Math.min(MAX_SPREAD_MS, (rank - RELAYS) * SPREAD_STEP_MS);
  const retryAtMs =
    failures === 0
      ? searchingSinceMs + spreadMs
      : failedAtMs + Math.min(maxRetryMs, FIRST_RETRY_MS * 2 ** failures + spreadMs);
  return nowMs >= retryAtMs ? { type: 'store' } : { type: 'none', retryAtMs };
}
