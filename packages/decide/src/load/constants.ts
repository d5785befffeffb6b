/**
 * Interval of polls and summaries per live entry host of the failure domain. Each summary goes to all of them, so a
 * host sends 9 summary messages a second.
 */
export const LOAD_INTERVAL_PER_HOST_MS = 110;

/** Jitter of a round, as the share of its interval by which it may start early; keeps hosts from synchronising. */
export const ROUND_JITTER_SHARE = 0.1;

/** Shortest interval of load reports; engines rarely refresh their reports more often. */
export const MIN_LOAD_INTERVAL_MS = 500;

/** Longest interval of load reports that the number of hosts leads to. */
export const MAX_LOAD_INTERVAL_MS = 5_000;

/** Polls per second of one host for its failure domain, up to `MAX_POLL_INTERVAL_MS`; costs 2.6 KB/s. */
export const TARGET_POLLS_PER_SECOND = 5;

/** Longest interval that `TARGET_POLLS_PER_SECOND` leads to. */
export const MAX_POLL_INTERVAL_MS = 1_000;

/** Most servers of one collector, as a multiple of the mean. */
export const COLLECTOR_LOAD_FACTOR = 1.25;

/** Most load polls per second of one host; bounds the work of a host that is alone or whose peers are silent. */
export const MAX_POLLS_PER_SECOND = 20;

/**
 * Report intervals without a summary after which a host polls a server itself. Two summaries are missing by then, and
 * the poll is answered before the third interval ends.
 */
export const SILENT_INTERVALS = 2.5;

/** Largest difference of wall clocks that counts as the age of a report; a larger one is a clock error. */
export const MAX_CLOCK_LAG_MS = 5_000;

/** Gap between two ticks above which the host was paused and datagrams may have waited in its socket. */
export const MIN_PAUSE_MS = 1_000;
