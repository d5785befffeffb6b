/** Prefix of the keys whose holder plans the engines of a pool. */
export const PLANNER_PREFIX = '/bergamot/planner/';

/** Life of the lease without renewal. */
export const LEASE_TTL_MS = 10_000;

/** Time between planning rounds. */
export const ROUND_MS = 2_000;

/** Time limit of a call to an engine. */
export const ENGINE_TIMEOUT_MS = 1_000;
