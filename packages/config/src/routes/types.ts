/** What may be repeated of the requests of a route. */
export type RouteKind =
  /** May run any number of times. */
  | 'idempotent'
  /** Runs at most once for each attempt of a caller. */
  | 'once'
  /** Answered by a stream of events; runs at most once unless the route says that it can be resumed. */
  | 'stream';

/** One stage of a route: work on other servers whose results the request needs before it can run. */
export interface RouteStage {
  readonly pool: string;
  /** Indexes of the stages whose results this one takes. */
  readonly after: readonly number[];
  /** Usual size of the result of one piece. */
  readonly resultBytes: number;
}

/** A pool that requests of a route may go to, with its share. */
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
  /** Whether a broken stream may go on at another server. */
  readonly resumable: boolean;
  readonly pools: readonly RoutePool[];
  /** Servers that one attempt of a caller may run on. */
  readonly maxAttempts: number;
  /** Longest time for which a request is kept waiting. */
  readonly timeoutMs: number;
  /** Time in which an answer, or the first event of a stream, is on time. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is on time. */
  readonly maxPauseMs: number | undefined;
  /** Rank; 0 goes first. */
  readonly priority: number;
  readonly stages: readonly RouteStage[];
  /** Whether callers need no key. */
  readonly keyless: boolean;
}

/** How the servers of a pool run pieces of stages. */
export interface BatchSpec {
  /** Calls in progress at the same time on one server. */
  readonly parallelCalls: number;
  /** Calls that may wait at one server. */
  readonly queuedCalls: number;
  /** Pieces in one call. */
  readonly maxPieces: number;
  /** Time of a call besides its pieces. */
  readonly callMs: number;
  /** Usual time of one piece; stages differ. */
  readonly pieceMs: number;
  /** Room for results on one server. */
  readonly roomBytes: number;
  /** Time for which a result is kept after its call. */
  readonly keepResultMs: number;
}

/** How the servers of a pool generate tokens. */
export interface EngineSpec {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens that the memory of one server holds. */
  readonly capacityTokens: number;
}

/** Backend servers that serve the same requests. */
export interface PoolSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one server accepts from all hosts together. */
  readonly maxConnections: number;
  readonly batch: BatchSpec | undefined;
  readonly engine: EngineSpec | undefined;
}

/** Limits of what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A party that sends requests, with its keys. */
export interface RouteOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of a route. */
  readonly priority: number | undefined;
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
