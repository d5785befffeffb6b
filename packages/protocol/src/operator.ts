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
}

/** Version of a service document in force on a host. */
export interface ServiceStatus {
  readonly service: string;
  readonly version: number;
}
