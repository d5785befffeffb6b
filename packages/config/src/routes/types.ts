/** Whether and how often requests of a route may run. */
export type RouteKind =
  /** May run any number of times. */
  | 'idempotent'
  /** Runs at most once for each attempt of a caller. */
  | 'once'
  /** Answered by a stream of events; runs at most once unless the route is resumable. */
  | 'stream';

/** One stage of a route: work on other servers whose results the request needs before it runs. */
export interface RouteStage {
  readonly pool: string;
  /** Indexes of the stages whose results are inputs of this one. */
  readonly after: readonly number[];
  /** Typical size of the result of one piece. */
  readonly resultBytes: number;
}

/** A pool that requests of a route may be sent to, with its weight. */
export interface RoutePool {
  readonly pool: string;
  readonly weight: number;
}

/** Requests of one host name and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be resumed on another server. */
  readonly resumable: boolean;
  readonly pools: readonly RoutePool[];
  /** Maximum number of servers that one attempt of a caller may run on. */
  readonly maxAttempts: number;
  /** Maximum time that a request may wait for its answer. */
  readonly timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, counts as on time. */
  readonly objectiveMs: number;
  /** Longest pause between events with which a stream still counts as on time. */
  readonly maxPauseMs: number | undefined;
  /** Scheduling priority; requests with lower numbers go first, starting at 0. */
  readonly priority: number;
  readonly stages: readonly RouteStage[];
  /** Whether callers need no key. */
  readonly keyless: boolean;
  /** Regions that may serve and hold the requests; any region when undefined. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** How the servers of a pool run pieces of stages. */
export interface BatchSpec {
  /** Maximum number of calls in progress at the same time on one server. */
  readonly parallelCalls: number;
  /** Maximum number of calls that may wait at one server. */
  readonly queuedCalls: number;
  /** Maximum number of pieces in one call. */
  readonly maxPieces: number;
  /** Time of a call in addition to the time of its pieces. */
  readonly callMs: number;
  /** Typical time of one piece; it differs between stages. */
  readonly pieceMs: number;
  /** Memory for results on one server. */
  readonly resultMemoryBytes: number;
  /** Time for which a result is kept after its call. */
  readonly keepResultMs: number;
}

/** How the servers of a pool generate tokens. */
export interface EngineSpec {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Number of tokens that fit into the memory of one server. */
  readonly capacityTokens: number;
}

/** What a server tolerates for some time after it has started. */
export interface ColdStartSpec {
  readonly durationMs: number;
  /** Requests a second from all hosts together; a server crashes at a rate well above it. */
  readonly requestsPerSecond: number;
}

/** Backend servers that serve the same requests. */
export interface PoolSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one server accepts from all hosts together. */
  readonly maxConnections: number;
  readonly batch: BatchSpec | undefined;
  readonly engine: EngineSpec | undefined;
  /** Undefined when servers take their full load from the start. */
  readonly coldStart?: ColdStartSpec | undefined;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** An organisation that sends requests, with its keys. */
export interface RouteOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of a route. */
  readonly priority: number | undefined;
  /** Regions that may serve and hold the organisation's requests; any region when undefined. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** One version of all routes. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly PoolSpec[];
  readonly limits: CallerLimits;
  /** Undefined when callers send no keys. */
  readonly organisations: readonly RouteOrganisation[] | undefined;
}
