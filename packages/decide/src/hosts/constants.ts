/** Interval of the `tick` event; a reader with a shorter read interval ticks more often. */
export const HOST_LIST_TICK_MS = 250;

/** Readers of the host list in each failure domain; the second one covers the loss of the first. */
export const READERS = 2;

/** Key under which readers are chosen. */
export const READER_KEY = 'host-list';

/**
 * Interval at which a reader sends the revision of an unchanged list. It goes as a datagram: as calls of 950 B to 36
 * hosts it would cost 6.8 KB/s of the 9 KB/s of a host.
 */
export const NOTICE_MS = 5_000;

/** Wait of a reader after a change before it sends the revision; then a host that missed the push repairs it in time. */
export const CONFIRM_WAIT_MS = 750;

/** Time without a confirmed revision after which a host reads the list itself. */
export const SILENCE_MS = 10_000;

/** Longest wait before a missed revision is repaired by a read; spreads the reads of a failure domain. */
export const REPAIR_WAIT_MS = 500;

/** Longest interval between two failed reads of a reader. */
export const READER_RETRY_MS = 5_000;

/** Longest interval between two failed reads of any other host; readers are back first and pass on what changed. */
export const RETRY_MS = 60_000;

/** Time for which every read must show an older revision before it is followed; a lagging replica shows it for less. */
export const OLDER_MS = 10_000;
