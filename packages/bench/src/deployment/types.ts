/** Kind of the backend servers in a pool. */
export type PoolKind = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';

/** A pool of backend servers of a deployment. */
export interface PoolSpec {
  readonly pool: string;
  readonly kind: PoolKind;
  readonly servers: number;
}

/** A failure domain and the region that contains it. */
export interface FailureDomainSpec {
  readonly failureDomain: string;
  readonly region: string;
}

/** Hosts, pools and service documents of a deployment. */
export interface DeploymentSpec {
  readonly name: string;
  readonly failureDomains: readonly FailureDomainSpec[];
  /** Number of entry hosts, spread over the failure domains. */
  readonly entryHosts: number;
  readonly pools: readonly PoolSpec[];
  /** Service documents, in the order in which they are accepted. */
  readonly documents: readonly string[];
}
