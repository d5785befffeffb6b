/** Kind of a backend server's pool. */
export type PoolKind = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';

/** One pool of a deployment. */
export interface PoolSpec {
  readonly pool: string;
  readonly kind: PoolKind;
  readonly servers: number;
}

/** A place of a deployment. */
export interface FailureDomainSpec {
  readonly failureDomain: string;
  readonly region: string;
}

/** Shape of one deployment. */
export interface DeploymentSpec {
  readonly name: string;
  readonly failureDomains: readonly FailureDomainSpec[];
  /** Number of entry hosts, spread over the failure domains. */
  readonly entryHosts: number;
  readonly pools: readonly PoolSpec[];
  /** Service documents, in the order in which they are accepted. */
  readonly documents: readonly string[];
}
