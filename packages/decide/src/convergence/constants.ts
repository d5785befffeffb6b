/** Hosts of each failure domain that watch the store; the second one covers the loss of the first. */
export const WATCHERS = 2;

/** Rendezvous key by which watchers are chosen. */
export const WATCHER_KEY = 'config-watch';

/** Mean interval of slow polls of the store by a host without neighbours. */
export const POLL_INTERVAL_MS = 60_000;

/** First back-off after a failed store read; it doubles with each failure up to `POLL_INTERVAL_MS`. */
export const MIN_READ_RETRY_MS = 1_000;

/** Jitter of the first read, so that the hosts of a restarted fleet do not read at the same time. */
export const START_JITTER_MS = 500;

/** Time that an unready host waits for the store before it pulls from a peer. */
export const FIRST_PULL_DELAY_MS = 500;

/**
 * Time that an unready host that is no watcher waits for its peers before it reads the store. A restarted region then
 * reads the documents twice per failure domain and not once per host: that was 19 MB for 100 hosts over the link of
 * 20 Mb/s.
 */
export const FIRST_READ_DELAY_MS = 1_200;

/** Delay before an unready host pulls again after a peer was unready too; the watchers read the store meanwhile. */
export const UNREADY_PULL_DELAY_MS = 150;

/** Mean delay from an offer to the pull; a pushed document usually arrives first. */
export const OFFER_PULL_DELAY_MS = 300;

/** Time for which the own digest must be unchanged before a difference of digests counts; covers pushes in flight. */
export const DIGEST_SETTLE_MS = 300;

/** Shortest interval between two pulls that are caused by different digests. */
export const MIN_PULL_INTERVAL_MS = 700;

/** Time for which a peer digest is ignored after a pull showed that neither side has anything newer. */
export const DIGEST_MUTE_MS = 60_000;

/** Timeout of a pull. */
export const PULL_TIMEOUT_MS = 3_000;
