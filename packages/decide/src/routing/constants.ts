/** Bounded load: prefix affinity is ignored for a server above this multiple of the mean load of its pool. */
export const BOUNDED_LOAD_FACTOR = 1.25;

/** A server counts as a straggler when it needs this multiple of the median time per token. */
export const STRAGGLER_SLOWNESS = 2;

/** Largest share of a pool that may be demoted at the same time. */
export const MAX_DEMOTED_SHARE = 1 / 3;

/**
 * Interval at which each host sends a request to a demoted server to test whether it has recovered. Each probe costs
 * about one hedge, and every host probes; load reports show the result of a probe to the other hosts.
 */
export const PROBE_INTERVAL_MS = 8_000;

/** Weight of one sample in the moving average of the speed; three samples in a row move it two thirds of the way. */
export const SPEED_SAMPLE_WEIGHT = 0.3;

/** Age from which a speed sample is ignored; stragglers are slow for seconds only. */
export const SPEED_SAMPLE_LIFETIME_MS = 10_000;

/** Concurrency window of a host at a server without a load report. */
export const INITIAL_WINDOW = 16;

/** Target length of a server's queue; one waiting attempt keeps it from idling between two attempts. */
export const SERVER_QUEUE_TARGET = 1;

/**
 * Multiple of its share of the free slots that a host may use until the next report; hosts are rarely busy at the same
 * moment. With twice the share, attempts waited 6 ms at their host in the steady state while servers had free slots.
 * With 4 times they hardly wait, and goodput at a peak of 3 times the load is the same.
 */
export const FREE_SLOT_OVERCOMMIT = 4;

/** All hosts together take at most this multiple of the free slots, plus one attempt each, after one report. */
export const MAX_OVERFILL = 2;

/** Share of a host's window at a server that long attempts may use. */
export const LONG_LIMIT_SHARE = 0.5;

/** Assumed round-trip time within a failure domain, within a region and between regions. */
export const ROUND_TRIP_MS = { failureDomain: 0.2, region: 2, otherRegion: 24 } as const;

/** Share of the remaining time that a server of the own region may need before another region is considered. */
export const LOCAL_DEADLINE_SHARE = 0.9;

/** Probability that the first and the second home server of a prefix have it cached. */
export const HOME_HIT_PROBABILITIES: readonly number[] = [0.9, 0.6];

/** Probability that a server has a prefix cached that this host has just sent to it. */
export const SENT_HIT_PROBABILITY = 0.5;

/** Time after which half of the prefixes sent to a server are expected to be evicted. */
export const PREFIX_HALF_LIFE_MS = 30_000;

/**
 * Age up to which a load report counts. Reports from other failure domains are up to one interval of load reports old
 * on arrival. The history of the own attempts covers the same time, so that they can be subtracted from the report.
 */
export const MAX_REPORT_AGE_MS = 6_000;
