/** Interval of polls and summaries for each live entry host of the failure domain: a host sends 9 summaries a second. */
export const LOAD_INTERVAL_PER_HOST_MS = 110;

/** Share by which a round may come early, so that hosts which began together do not stay in step. */
export const ROUND_JITTER_SHARE = 0.1;

/** Shortest interval of load reports; engines refresh their reports hardly more often. */
export const MIN_LOAD_INTERVAL_MS = 500;

/** Longest interval of load reports that comes from the number of hosts. */
export const MAX_LOAD_INTERVAL_MS = 5_000;

/** Polls of one host for its failure domain, as long as the interval stays under the next constant; 2.6 KB/s. */
export const POLLS_PER_SECOND = 5;

/** Longest interval that the limit above leads to. */
export const MAX_POLL_INTERVAL_MS = 1_000;

/** Servers of one collector at most, as a multiple of the mean. */
export const COLLECTOR_LOAD_FACTOR = 1.25;

/** Load polls of one host; bounds what a host does that is alone or whose peers are silent. */
export const MAX_POLLS_PER_SECOND = 20;

/**
 * Intervals without a summary after which a host polls for itself. Two summaries are missing then, and the poll is
 * answered before the third interval ends.
 */
export const SILENT_INTERVALS = 2.5;

/** A difference of wall clocks above this is an error of the clocks, not the lag of a report. */
export const MAX_CLOCK_LAG_MS = 5_000;

/** Gap between two ticks from which datagrams may have waited in the socket of a paused host. */
export const RECEIVE_GAP_MS = 1_000;
