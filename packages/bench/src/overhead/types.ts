/** How a generator process sends requests. */
export type LoadMode =
  /** A fixed number of requests is always open; measures the throughput at saturation. */
  | { readonly type: 'closed'; readonly concurrency: number }
  /** Requests start at random times whatever the answers do; measures latency. */
  | { readonly type: 'open'; readonly requestsPerSecond: number };

/** Task of one generator process. */
export interface LoadTask {
  readonly port: number;
  readonly path: string;
  readonly body: string;
  readonly mode: LoadMode;
  /** Answers before this time are not measured. */
  readonly warmUpMs: number;
  readonly measureMs: number;
  readonly seed: number;
}

/** What one generator process measured. */
export interface LoadReport {
  readonly answered: number;
  readonly failed: number;
  /** Latency in microseconds, as a compressed HDR histogram. */
  readonly histogram: string;
}

/** One measured path from the generator to the instant server. */
export type PathName = 'direct' | 'forwarder' | 'entry-1-hop' | 'entry-3-hops';

/** Result of one path. */
export interface PathResult {
  readonly path: PathName;
  /** Answers per second at saturation. */
  readonly saturationPerSecond: number;
  /** Answers per second of CPU time of the measured process at saturation; absent for the direct path. */
  readonly perCpuSecond?: number;
  /** Rate of the latency run, half of the entry host's saturation. */
  readonly offeredPerSecond: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Result of the overhead measurement. */
export interface OverheadResult {
  readonly seed: number;
  readonly paths: readonly PathResult[];
  /** Latency that one hop through the entry host adds to the direct path. */
  readonly addedPerHop: { readonly p50Ms: number; readonly p99Ms: number };
  /** Latency that the plain forwarder adds to the direct path. */
  readonly addedByForwarder: { readonly p50Ms: number; readonly p99Ms: number };
  /** Throughput of the entry host, one hop, as a share of the plain forwarder's. */
  readonly throughputShare: number;
}
