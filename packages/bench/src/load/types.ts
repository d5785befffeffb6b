import type { PriorityClass } from '@bergamotcove/decide';

/** Kind of a stage in the load model. */
export type LoadStage = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';

/** One kind of request in the offered load. */
export interface OperationLoad {
  readonly name: string;
  readonly priority: PriorityClass;
  /** Share of the requests. */
  readonly share: number;
  readonly meanOutputTokens: number;
  readonly inputTokens: number;
  /** Part of the input that is a prefix shared by requests of the same organisation. */
  readonly prefixTokens: number;
  readonly deadlineMs: number;
  readonly stages: readonly LoadStage[];
  readonly long: boolean;
  /** Size of the input as it is sent to a server. */
  readonly inputBytes: number;
}

/** Servers of one stage. */
export interface PoolModel {
  readonly stage: LoadStage;
  readonly servers: number;
  /** Attempts that run at the same time on one server. */
  readonly slots: number;
  /** Time per token of work of one attempt that runs alone. */
  readonly msPerToken: number;
  /** Extra time per token when all slots are busy, as a share; batching slows each stream a little. */
  readonly batchSlope: number;
}

/** Size and place of one deployment. */
export interface DeploymentModel {
  readonly name: string;
  readonly failureDomains: readonly { readonly failureDomain: string; readonly region: string }[];
  readonly entryHosts: number;
  readonly pools: readonly PoolModel[];
  readonly linkBytesPerSecond: number;
}

/** Something that happens to servers at a time of the run. */
export type LoadFault =
  | {
      readonly type: 'slow';
      readonly stage: LoadStage;
      readonly index: number;
      readonly factor: number;
      readonly atMs: number;
    }
  | { readonly type: 'crash-region'; readonly stage: LoadStage; readonly region: number; readonly atMs: number }
  | { readonly type: 'restore-region'; readonly stage: LoadStage; readonly region: number; readonly atMs: number };

/** One load scenario. */
export interface LoadScenario {
  readonly name: string;
  readonly text: string;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly operations: readonly OperationLoad[];
  /** Organisations with their share of the requests. */
  readonly organisations: readonly { readonly name: string; readonly share: number; readonly weight: number }[];
  /** Offered load as a multiple of the capacity of the servers in the region of the failure domain. */
  readonly loadAt: (atMs: number, regionIndex: number) => number;
  readonly faults: readonly LoadFault[];
  /** Factor between the real length of an answer and the estimate that hosts start from; 1 for exact means. */
  readonly estimateErrorFactor: number;
  /** Prefixes that one engine caches. */
  readonly cachedPrefixes: number;
  /** Span in which goodput is measured. */
  readonly crestMs?: { readonly fromMs: number; readonly toMs: number };
  /** Organisation whose excess others must not feel. */
  readonly noisyOrganisation?: string;
  readonly tokensPerSecondLimit?: number;
}

/** What a policy does; each baseline turns the parts off. */
export interface LoadPolicy {
  readonly name: string;
  readonly text: string;
  readonly choice: 'predicted' | 'random' | 'round-robin' | 'least-outstanding' | 'previous' | 'probing' | 'rendezvous';
  readonly admission: boolean;
  readonly stageQueues: boolean;
  readonly hedges: boolean;
  readonly affinity: boolean;
  readonly longLimit: boolean;
  readonly spill: boolean;
  readonly demotion: boolean;
}

/** One request of the offered load; the same for every policy under the same seed. */
export interface Arrival {
  readonly id: number;
  readonly atMs: number;
  readonly domainIndex: number;
  readonly hostIndex: number;
  readonly organisation: string;
  readonly weight: number;
  readonly operation: OperationLoad;
  readonly outputTokens: number;
  /** Service time factors of the stages other than generation. */
  readonly stageFactors: readonly number[];
  /** Error of the estimate of this request. */
  readonly estimateFactor: number;
}

/** How a request of the load ended. */
export interface RequestRecord {
  readonly arrival: Arrival;
  readonly result: 'answered' | 'refused' | 'failed';
  readonly admitted: boolean;
  readonly finishedAtMs: number;
  /** Times of the first and the last token of a generation. */
  readonly firstTokenAtMs?: number;
  readonly lastTokenAtMs?: number;
  readonly retryAfterMs?: number;
}

/** Figures of one run. */
export interface LoadFigures {
  readonly requests: number;
  /** Requests answered within their deadline, as a share of all. */
  readonly attainment: number;
  /** The same as a share of the admitted requests. */
  readonly admittedAttainment: number;
  readonly refused: number;
  readonly refusalP99Ms: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly shortP50Ms: number;
  readonly shortP99Ms: number;
  readonly longP99Ms: number;
  /** From the intended arrival to the first token of a generation, and between its tokens on average. */
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
  /** Work within the deadline during the crest, as a share of capacity. */
  readonly crestGoodput: number;
  /** Attainment of the organisations other than the noisy one. */
  readonly othersAttainment: number;
  /** Work of the stage per answered request, in milliseconds of server time. */
  readonly costMs: Readonly<Record<LoadStage, number>>;
  readonly costTotalMs: number;
  /** Work of hedges that did not win, as a share of all work. */
  readonly hedgeWork: number;
  readonly maxLinkBytesPerSecond: number;
  readonly linkBytes: number;
}

/** Attainment in one second of the run. */
export interface TimelinePoint {
  readonly atMs: number;
  readonly arrivals: number;
  readonly attained: number;
  readonly refused: number;
}

/** Result of one scenario under one policy and one seed. */
export interface LoadResult {
  readonly scenario: string;
  readonly deployment: string;
  readonly policy: string;
  readonly seed: number;
  readonly figures: LoadFigures;
  readonly timeline: readonly TimelinePoint[];
  readonly latencyMs: readonly { readonly quantile: number; readonly valueMs: number }[];
}
