/** A live entry host as far as load reports need it. */
export interface LoadHost {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** A backend server as far as load reports need it. */
export interface LoadServer {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Facts that the tasks of a host follow from. */
export interface LoadView {
  readonly self: LoadHost;
  /** Live entry hosts, this one included. */
  readonly hosts: readonly LoadHost[];
  readonly servers: readonly LoadServer[];
}

/** What this host does for the load reports. */
export interface LoadAssignment {
  /** Interval of the summaries of this host. */
  readonly roundMs: number;
  /** Interval in which each server of the own failure domain is reported. */
  readonly intervalMs: number;
  /** Servers that this host polls for its failure domain. */
  readonly collects: ReadonlySet<string>;
  /** Servers whose reports this host expects from peers. */
  readonly expects: ReadonlySet<string>;
  /** Hosts of the other failure domains of the region that forward the reports of this host, by id. */
  readonly representatives: readonly string[];
}

/** Polls that are due. */
export interface LoadStep {
  /** Servers to poll for the next summary; undefined until the next round. */
  readonly round: readonly string[] | undefined;
  /** Servers to poll for this host alone, because no summary names them. */
  readonly alone: readonly string[];
}
