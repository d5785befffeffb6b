/** Interval of the `tick` event. */
export const TICK_MS = 250;

/** Protocol period: interval between two probes by one host. */
export const PROBE_PERIOD_MS = 1_000;

/** Timeout of a direct ack; ten times the longest round trip inside a failure domain plus a scheduling delay. */
export const DIRECT_TIMEOUT_MS = 400;

/** Timeout of any ack before a suspicion; longer than a pause of 1 s, which is common and not a failure. */
export const PROBE_TIMEOUT_MS = 1_500;

/** Timeout of any ack of a host that the host list has just dropped; it is then declared dead without a suspicion. */
export const DELISTED_TIMEOUT_MS = 800;

/** Peers that are asked for an indirect probe of one target. */
export const INDIRECT_PROBES = 3;

/** Size of a failure domain up to which the suspicion timeout is the shortest. */
export const SUSPICION_BASE_HOSTS = 10;

/** Shortest suspicion timeout; a host that pauses for 1 s and then learns of the suspicion refutes it in half of it. */
export const SUSPICION_BASE_MS = 2_000;

/** Hosts of each failure domain that probe the other failure domains. */
export const REPRESENTATIVES = 2;

/**
 * Other failure domains that one representative probes in a period; bounds its traffic in large fleets. With three, the
 * loss of one of eleven failure domains was detected after 10.7 s, over the limit of 10 s.
 */
export const REMOTE_PROBES_PER_PERIOD = 4;

/**
 * Silence of a failure domain before a suspicion, in addition to one round of remote probes. Three whole rounds would
 * take 12 s with eleven failure domains, and the loss must be detected within 10 s.
 */
export const DOMAIN_SILENCE_MS = 2_000;

/** Time from the suspicion of a failure domain until it is declared lost. */
export const DOMAIN_SUSPICION_MS = 3_000;

/** Gap between two ticks above which the host treats itself as paused, and not its peers as silent. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Interval of pings to dead hosts; they bring back wrongly declared hosts after a partition has healed. */
export const RECONNECT_INTERVAL_MS = 5_000;

/** Time after which a dead or left host that is not in the host list is removed. */
export const FORGET_AFTER_MS = 60_000;

/** Mean interval between two full syncs of the view with a random peer, up to `SYNC_BASE_HOSTS` hosts. */
export const SYNC_INTERVAL_MS = 30_000;

/** Size of the view above which the sync interval grows in proportion, so that the bytes a second stay constant. */
export const SYNC_BASE_HOSTS = 50;

/** Neighbours to which a host forwards an urgent change; three reach 19 of 20 hosts without repeats. */
export const FORWARD_FANOUT = 3;

/**
 * Shortest time for which an update is repeated. The probes along the ring in the next two periods then reach every
 * host of the failure domain. Without it, the answers to urgent messages used up the repeats within milliseconds, and
 * single hosts learnt of a crash 24 s late.
 */
export const MIN_GOSSIP_MS = 3_000;

/** Shortest interval between two forwards of urgent changes; faster ones are batched on the next tick. */
export const MIN_FORWARD_INTERVAL_MS = 100;

/** Mean number of hosts that ping a suspect in a period; even with lost messages, one of them tells a live suspect. */
export const SUSPECT_PINGS = 3;

/** Periods between two probes in random order; the probes along the ring detect a single crash within one period. */
export const RANDOM_PROBE_PERIODS = 2;

/** Most updates in one message; keeps a message under its size limit. */
export const MAX_UPDATES = 8;

/** Time for which a change is repeated in messages to other failure domains. */
export const REMOTE_REPEAT_MS = 15_000;
