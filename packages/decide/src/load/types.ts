/** Place of a live entry host, for the assignment of load polls. */
export interface LoadHost {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Place of a backend server, for the assignment of load polls. */
export interface LoadServer {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Hosts and servers from which the assignment of a host follows. */
export interface LoadView {
  readonly self: LoadHost;
  /** Live entry hosts, this one included. */
  readonly hosts: readonly LoadHost[];
  readonly servers: readonly LoadServer[];
}

/** Part of this host in the load reports. */
export interface LoadAssignment {
  /** Interval of the summaries of this host. */
  readonly roundMs: number;
  /** Interval of the reports of each server of the own failure domain. */
  readonly intervalMs: number;
  /** Servers that this host polls for its failure domain. */
  readonly collects: ReadonlySet<string>;
  /** Servers whose reports this host expects from peers. */
  readonly expects: ReadonlySet<string>;
  /** Ids of the hosts in other failure domains of the region that forward the reports of this host there. */
  readonly representatives: readonly string[];
}

/** Polls that are due. */
export interface LoadStep {
  /** Servers to poll for the next summary; undefined until the next round. */
  readonly round: readonly string[] | undefined;
  /** Servers to poll as a fallback for this host only, because no recent summary contains them. */
  readonly alone: readonly string[];
}
