/** Source from which a host gets changes of the store. */
export type CatalogueSource =
  /** The store itself. */
  | { readonly type: 'store' }
  /** Relays of its failure domain. */
  | { readonly type: 'relay' }
  /** None for now; the host tries the store at the given time. */
  | { readonly type: 'none'; readonly retryAtMs: number };

/** State of a host from which its source is chosen; times are monotonic. */
export interface SourceView {
  /** Listed hosts of the failure domain, this one included. */
  readonly hosts: number;
  /** Rank of this host among them, from 0; negative if it is not listed. */
  readonly rank: number;
  /** When the last message of a relay that reaches the store arrived. */
  readonly relayAtMs: number;
  /** When the last message of any relay arrived. */
  readonly heardAtMs: number;
  /** Since when this host has had no source. */
  readonly searchingSinceMs: number;
  /** Whether this host follows the store and the store answers. */
  readonly storeAnswers: boolean;
  /** Consecutive failed calls to the store, and the time of the last one. */
  readonly failures: number;
  readonly failedAtMs: number;
}

/** Hosts of a failure domain that follow the store and relay its changes to the others. */
export const RELAYS = 2;
/** Size of a failure domain up to which every host follows the store. */
export const MAX_DIRECT_HOSTS = 4;
/** Time without a message after which a relay counts as lost; relays send at least every second. */
export const RELAY_TIMEOUT_MS = 1_700;
/** Delay between the hosts that lost their relays and try the store in turn; the first answer spares the others. */
const STAGGER_STEP_MS = 120;
const MAX_STAGGER_MS = 1_200;
/** Base of the back-off after a failed call; it doubles with each consecutive failure. */
const FIRST_RETRY_MS = 500;
/** Longest back-off of a host that hears no relay. */
const MAX_ISOLATED_RETRY_MS = 1_500;
/** Longest back-off of a host that hears relays; if they have lost the store too, they keep trying it. */
const MAX_RETRY_MS = 6_000;

/**
 * Chooses the source from which a host gets changes of the store. The first hosts of a failure domain follow the store
 * and act as relays; the others listen to them, and try the store when they hear no relay that reaches it.
 *
 * @param view - state of the host
 * @param nowMs - monotonic time
 * @returns the source
 */
export default function chooseSource(view: SourceView, nowMs: number): CatalogueSource {
  const { hosts, rank, relayAtMs, heardAtMs, searchingSinceMs, storeAnswers, failures, failedAtMs } = view;
  const isRelay = hosts <= MAX_DIRECT_HOSTS || (rank >= 0 && rank < RELAYS);
  const hearsRelay = nowMs - relayAtMs <= RELAY_TIMEOUT_MS;
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
  const maxRetryMs = nowMs - heardAtMs <= RELAY_TIMEOUT_MS ? MAX_RETRY_MS : MAX_ISOLATED_RETRY_MS;
  const staggerMs = rank < 0 ? MAX_STAGGER_MS : Math.min(MAX_STAGGER_MS, (rank - RELAYS) * STAGGER_STEP_MS);
  const retryAtMs =
    failures === 0
      ? searchingSinceMs + staggerMs
      : failedAtMs + Math.min(maxRetryMs, FIRST_RETRY_MS * 2 ** failures + staggerMs);
  return nowMs >= retryAtMs ? { type: 'store' } : { type: 'none', retryAtMs };
}
