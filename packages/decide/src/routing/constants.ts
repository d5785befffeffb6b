/** Bounded load: affinity is ignored for a server above this multiple of the mean load of its pool. */
export const BOUNDED_LOAD_FACTOR = 1.25;

/** A server counts as a straggler when it needs this multiple of the median time per token. */
export const STRAGGLER_SLOWNESS = 2;

/** Largest share of a pool that is demoted at the same time. */
export const MAX_DEMOTED_SHARE = 1 / 3;

/**
 * Interval of the requests with which a host tests if a demoted server has recovered. Each costs about one hedge, and
 * every host probes; load reports show the result of a probe to the other hosts.
 */
export const PROBE_INTERVAL_MS = 8_000;

/** Weight of one speed sample; three samples in a row move the mean two thirds of the way. */
export const SPEED_SAMPLE_WEIGHT = 0.3;

/** A speed sample older than this says nothing about a server; stragglers are slow for seconds. */
export const SPEED_SAMPLE_LIFETIME_MS = 10_000;

/** Window of a host at a server of which there is no report. */
export const INITIAL_WINDOW = 16;

/** Attempts that may wait at a server, so that it does not idle between two attempts. */
export const SERVER_QUEUE_TARGET = 1;

/**
 * Multiple of its share of the free slots that a host may use until the next report. Hosts are not busy at the same
 * moment. With twice the share, attempts waited 6 ms at their host in the steady state while servers had free slots;
 * with 4 times they hardly wait, and goodput at a crest of 3 times the load stays the same.
 */
export const FREE_SLOT_OVERCOMMIT = 4;

/** All hosts together take at most this multiple of the free slots, and one attempt each, on one report. */
export const MAX_OVERFILL = 2;

/** Share of a server's slots that long work may use. */
export const LONG_LIMIT_SHARE = 0.5;

/** Round trip within a failure domain, within a region and between regions. */
export const ROUND_TRIP_MS = { failureDomain: 0.2, region: 2, otherRegion: 24 } as const;

/** Share of the time left that a local server may use before another region counts as necessary. */
export const LOCAL_DEADLINE_SHARE = 0.9;

/** Probability that a home server of a prefix holds it, in the order of the homes. */
export const HOME_HIT_PROBABILITIES: readonly number[] = [0.9, 0.6];

/** Probability that another server still holds a prefix that this host has just sent there. */
export const SENT_HIT_PROBABILITY = 0.5;

/** Time after which half of the prefixes sent to a server are expected to be evicted. */
export const PREFIX_HALF_LIFE_MS = 30_000;

/**
 * Oldest report that counts. Reports of other failure domains are up to one interval of load reports old on arrival;
 * the own attempts are remembered for as long, so that they can be subtracted.
 */
export const MAX_REPORT_AGE_MS = 6_000;
