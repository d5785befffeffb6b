/** Bounded load: affinity is ignored for a server above this multiple of the mean load of its pool. */
export const BOUNDED_LOAD_FACTOR = 1.25;

/** A server counts as a straggler when it needs this multiple of the median time per token. */
export const STRAGGLER_SLOWNESS = 2;

/** Largest share of a pool that is demoted at the same time. */
export const MAX_DEMOTED_SHARE = 1 / 3;

/** Interval of the requests that test if a demoted server has recovered; each costs about one hedge. */
export const PROBE_INTERVAL_MS = 3_000;

/** Weight of one speed sample; three samples in a row move the mean two thirds of the way. */
export const SPEED_SAMPLE_WEIGHT = 0.3;

/** A speed sample older than this says nothing about a server; stragglers are slow for seconds. */
export const SPEED_SAMPLE_LIFETIME_MS = 10_000;

/** Concurrency limit of a server before anything is known about it. */
export const INITIAL_LIMIT = 16;

/** Attempts that may wait at a server, so that it does not idle between two attempts. */
export const SERVER_QUEUE_TARGET = 2;

/** Share of a server's limit that long work may use. */
export const LONG_LIMIT_SHARE = 0.5;

/** Round trip within a failure domain, within a region and between regions. */
export const ROUND_TRIP_MS = { failureDomain: 0.2, region: 2, otherRegion: 24 } as const;

/** Share of the time left that a local server may use before another region counts as necessary. */
export const LOCAL_DEADLINE_SHARE = 0.9;

/** Probability that the home server of a prefix holds it although this host has not sent it there itself. */
export const HOME_HIT_PROBABILITY = 0.5;

/** Time after which half of the prefixes sent to a server are expected to be evicted. */
export const PREFIX_HALF_LIFE_MS = 30_000;
