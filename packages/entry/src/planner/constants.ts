/** Prefix of the store keys of planner leases; the lease holder plans the engines of the pool. */
export const PLANNER_PREFIX = '/bergamot/planner/';

/** Time after which a lease expires without renewal. */
export const LEASE_TTL_MS = 10_000;

/** Time between planning rounds. */
export const ROUND_INTERVAL_MS = 2_000;

/** Timeout of a call to an engine. */
export const ENGINE_TIMEOUT_MS = 1_000;
