/** Operator requests to an entry host, sent by `bergamotctl`. */

/** Status of one entry host. */
export interface HostStatus {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly inFlight: number;
  /** Ids of the entry hosts that this host believes to be live. */
  readonly entryHosts: readonly string[];
  readonly services: readonly ServiceStatus[];
  /** Pools of the services in force. */
  readonly pools?: readonly PoolStatus[];
  /** Document versions that were offered to this host and rejected. */
  readonly configFindings?: readonly ConfigFindingStatus[];
  /** Failure domains that this host believes to be lost. */
  readonly lostDomains?: readonly string[];
}

/** A document version that the store or a peer offers and that the host rejects. */
export interface ConfigFindingStatus {
  readonly type: 'store-regressed' | 'hash-conflict';
  readonly service: string;
  readonly inForce: number;
  readonly offered: number;
  readonly source: string;
}

/** Version of a service document in force on a host. */
export interface ServiceStatus {
  readonly service: string;
  readonly version: number;
  /** Stages in the order in which they run. */
  readonly stages?: readonly StageStatus[];
}

/** One stage of a service and the pool that runs it. */
export interface StageStatus {
  readonly stage: string;
  readonly pool: string;
}

/** Load of one pool as one host knows it, for the servers of its region only. */
export interface PoolStatus {
  readonly pool: string;
  readonly servers: number;
  /** Attempts of all hosts on the servers, from the host's own counts and the load reports of the others. */
  readonly running: number;
  /** Attempts that the servers have been observed to run at the same time. */
  readonly slots: number;
  /** Attempts of this host that wait for a server. */
  readonly waiting: number;
}
