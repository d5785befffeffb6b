/** Watchers of the store in each failure domain; the second one covers the loss of the first. */
export const WATCHERS = 2;

/** Key under which watchers are chosen. */
export const WATCHER_KEY = 'config-watch';

/** Interval of the slow poll of a host that sees no neighbours. */
export const POLL_MS = 60_000;

/** First wait after a failed store read; it doubles up to the slow poll. */
export const READ_RETRY_MS = 1_000;

/** Reads at start are spread over this time, so that a restarted fleet does not read at one instant. */
export const START_SPREAD_MS = 500;

/** Wait of an unready host for the store before it asks a peer. */
export const LEARN_FROM_PEER_MS = 500;

/**
 * Wait of an unready host that is no watcher for its peers before it reads the store. A restarted region then reads the
 * heads twice a failure domain and not once a host: 19 MB for 100 hosts over the link of 20 Mb/s.
 */
export const LEARN_FROM_STORE_MS = 1_200;

/** Wait of an unready host after a peer that did not help; the watchers of a restarted region learn meanwhile. */
export const UNREADY_PULL_MS = 150;

/** Wait after an offer; a pushed document usually arrives meanwhile. */
export const OFFER_WAIT_MS = 300;

/** Time for which the own versions must stand still before a difference of digests counts; covers pushes under way. */
export const DIGEST_SETTLE_MS = 300;

/** Shortest time between two pulls that differences of digests cause. */
export const PULL_INTERVAL_MS = 700;

/** Time for which a peer digest is ignored after a pull showed that neither side has anything newer. */
export const MUTE_MS = 60_000;

/** A pull that is not answered for this long counts as failed. */
export const PULL_TIMEOUT_MS = 3_000;
