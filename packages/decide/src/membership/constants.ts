/** Interval of the `tick` event. */
export const TICK_MS = 250;

/** Interval between two probes of one host. */
export const PROBE_PERIOD_MS = 1_000;

/** Wait for a direct ack; ten times the longest round trip inside a failure domain plus a scheduling delay. */
export const DIRECT_TIMEOUT_MS = 400;

/** Wait for any ack before a suspicion; longer than a pause of 1 s, which is common and not a failure. */
export const PROBE_TIMEOUT_MS = 1_500;

/** Wait for any ack of a host that the host list has just dropped; list and silence together are the verdict. */
export const DELISTED_TIMEOUT_MS = 800;

/** Peers that are asked to probe indirectly. */
export const INDIRECT_PROBES = 3;

/** Hosts of a failure domain up to which the verdict timeout is the shortest. */
export const SUSPICION_BASE_HOSTS = 10;

/** Shortest verdict timeout of a suspicion; a host that pauses for 1 s and is told afterwards refutes in half of it. */
export const SUSPICION_BASE_MS = 2_000;

/** Hosts of a failure domain that probe the other failure domains. */
export const REPRESENTATIVES = 2;

/**
 * Other failure domains that one representative probes in a period; bounds its traffic in large fleets. With three, the
 * loss of one of eleven failure domains was known after 10.7 s, over the limit of 10 s.
 */
export const REMOTE_PROBES_PER_PERIOD = 4;

/**
 * Silence of a failure domain before a suspicion, beyond one round of remote probes. Three whole rounds would take 12 s
 * with eleven failure domains, and the loss must be known within 10 s.
 */
export const DOMAIN_SILENCE_MS = 2_000;

/** Wait from the suspicion of a failure domain to its verdict. */
export const DOMAIN_SUSPICION_MS = 3_000;

/** A gap between two ticks from which the host takes itself as paused and not its peers as silent. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Interval of probes of hosts under a verdict; they end wrong verdicts after a cut has healed. */
export const RECONNECT_MS = 5_000;

/** Time after which a dead or left host that the host list does not name is forgotten. */
export const FORGET_MS = 60_000;

/** Mean interval between two exchanges of the whole view with a random peer, up to `SYNC_HOSTS` hosts. */
export const SYNC_MS = 30_000;

/** Size from which the interval grows with the view, so that the bytes a second stay as they are. */
export const SYNC_HOSTS = 50;

/** Neighbours that a host sends an urgent change to when it learns it; three reach 19 of 20 hosts without repeats. */
export const FORWARD_HOSTS = 3;

/**
 * Shortest time for which an update is repeated. The probes along the ring of the next two periods then reach every host
 * of the failure domain; without it the answers to urgent messages used the repeats up within milliseconds, and single
 * hosts learnt of a crash 24 s late.
 */
export const RUMOUR_MS = 3_000;

/** Shortest time between two rounds of urgent changes; those that follow faster go together on the next tick. */
export const FORWARD_MS = 100;

/** Hosts that ping a suspect in each period, on average; one of them tells a live suspect even with lost messages. */
export const SUSPECT_PINGS = 3;

/** Periods between two probes in random order; the probes along the ring find a single crash within one period. */
export const RANDOM_PROBE_PERIODS = 2;

/** Updates in one message; keeps a message under its size limit. */
export const MAX_UPDATES = 8;

/** Time for which a change is repeated in messages to other failure domains. */
export const REMOTE_REPEAT_MS = 15_000;
