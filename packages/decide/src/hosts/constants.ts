/** Interval of the `tick` event; a reader with a shorter read interval ticks more often. */
export const HOST_LIST_TICK_MS = 250;

/** Hosts of each failure domain that read the host list; the second one covers the loss of the first. */
export const READERS = 2;

/** Rendezvous key by which readers are chosen. */
export const READER_KEY = 'host-list';

/**
 * Interval at which a reader sends the revision of an unchanged list. The revision is sent as a datagram, because calls
 * of 950 B to 36 hosts would use 6.8 KB/s of the 9 KB/s that a host has.
 */
export const NOTICE_INTERVAL_MS = 5_000;

/** Delay from a change until a reader sends the revision, by which a host that missed the push repairs it in time. */
export const NOTICE_DELAY_MS = 750;

/** Time without a confirmation of its revision after which a host reads the list itself. */
export const MAX_SILENCE_MS = 10_000;

/** Longest random delay of the read that repairs a missed revision; spreads the reads of a failure domain. */
export const MAX_REPAIR_DELAY_MS = 500;

/** Longest back-off of a reader after a failed read. */
export const MAX_READER_RETRY_MS = 5_000;

/** Longest back-off of any other host after a failed read; readers recover first and push what changed. */
export const MAX_RETRY_MS = 60_000;

/** Time for which every read must show an older revision before it is applied; a lagging replica catches up sooner. */
export const OLDER_REVISION_MS = 10_000;
