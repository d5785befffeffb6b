/** Source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** A backend server as the host list describes it. */
export interface ServerDescription {
  readonly serverId: string;
  readonly address: string;
  readonly port: number;
  readonly pool: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
  /** Version of its software; empty or undefined when none is known. */
  readonly softwareVersion?: string;
}

/** Load report of a backend server; it was made before it arrived. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
  readonly reportedAtMs: number;
}

/** Statistics of a backend server as one entry host has measured them. */
export interface ServerStats {
  /** Attempts of this host that have not ended. */
  readonly outstanding: number;
  /** Estimated tokens that these attempts still need. */
  readonly outstandingTokens: number;
  /** Outstanding attempts of this host that are long. */
  readonly longOutstanding: number;
  /** Attempts of other entry hosts, from the last load report. */
  readonly othersOutstanding: number;
  /** When that report was made; undefined without a report. */
  readonly reportedAtMs?: number;
  /** Largest number of attempts that the server was seen to run in parallel. */
  readonly slots: number;
  /** Attempts that this host may have at the server; a fraction is a probability. */
  readonly window: number;
  /** Moving average of the time per token of work; undefined before the first sample. */
  readonly msPerToken?: number;
  readonly sampledAtMs: number;
  readonly lastSentAtMs: number;
  /** Consecutive failed connections. */
  readonly failures: number;
  /** The server gets no work before this time, because a connection to it failed. */
  readonly unreachableUntilMs: number;
}

/** A backend server as seen by one entry host. */
export interface ServerView extends ServerDescription, ServerStats {
  /** Time per token relative to the median of the pool; 1 for a server of ordinary speed. */
  readonly slowness: number;
}

/** A pool as seen by one entry host. */
export interface PoolView {
  readonly servers: readonly ServerView[];
  /** Median time per token of the servers. */
  readonly msPerToken: number;
  /** Mean work of an attempt in tokens. */
  readonly meanTokens: number;
}

/** One attempt, as the choice of a server depends on it. */
export interface DispatchRequest {
  /** Estimated work of the attempt, less its prefill. */
  readonly tokens: number;
  /** Estimated work before the first token on a server without the prefix; the prefix cache saves a part of it. */
  readonly prefillTokens?: number;
  readonly long: boolean;
  /** Time left for this stage. */
  readonly remainingMs: number;
  readonly avoidServers: readonly string[];
  /** Failure domains that seem unreachable; they get work only if no other server is left. */
  readonly suspectedDomains?: ReadonlySet<string>;
  readonly failureDomain: string;
  readonly region: string;
  /** Expected saving by the prefix cache in tokens of work, by server id. */
  readonly savedTokens?: ReadonlyMap<string, number>;
  /** Whether the cross-region byte budget has room for the attempt. */
  readonly crossRegionAllowed: boolean;
  /** Whether requests that wait for admission would miss their deadline in the own region. */
  readonly localOverloaded?: boolean;
  readonly nowMs: number;
}

/** Result of the choice of a server. */
export type Choice =
  | { readonly type: 'send'; readonly server: ServerView; readonly predictedMs: number; readonly crossRegion: boolean }
  /** The window of this host is full at every usable server. */
  | { readonly type: 'wait' };

/** Event that changes the statistics of a server. */
export type ServerEventInput =
  | { readonly type: 'sent'; readonly tokens: number; readonly long: boolean }
  /** An outstanding attempt produced this many tokens, possibly none, in the given time. */
  | { readonly type: 'progress'; readonly tokens: number; readonly elapsedMs: number }
  /** The estimate of the tokens that an outstanding attempt still needs changed, for example because tokens arrived. */
  | { readonly type: 'corrected'; readonly tokensChange: number; readonly longChange: number }
  /** The connection could not be opened, or it broke before the answer. */
  | { readonly type: 'failed' }
  | { readonly type: 'answered' }
  | { readonly type: 'done'; readonly tokensLeft: number; readonly long: boolean }
  | {
      readonly type: 'reported';
      readonly report: LoadReport;
      /** Outstanding attempts of this host at the time of the report. */
      readonly ownAtReport: number;
      /** Entry hosts that send to the server. */
      readonly hosts: number;
    };
