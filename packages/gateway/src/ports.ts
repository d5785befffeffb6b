import type { IncomingHttpHeaders } from 'node:http';
import type { RouteTable } from '@bergamotcove/config';

/** Headers of an answer, by name in lower case. */
export type HttpHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** A part of a prompt; requests may share parts. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** Properties of a generation, as the caller states them. */
export interface GenerationFacts {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the number of output tokens, at the median. */
  readonly expectedOutputTokens: number;
  /** Parts of the prompt in order; the last one is specific to the request or its session. */
  readonly parts: readonly PromptPart[];
}

/** Contents of the headers of a request. */
export interface RequestFacts {
  readonly requestId: string | undefined;
  /** Time for which the caller waits. */
  readonly deadlineMs: number | undefined;
  /** Key that identifies the caller's organisation; undefined without one. */
  readonly organisationKey: string | undefined;
  /** Number of pieces of each stage of the route. */
  readonly pieceCounts: readonly number[];
  /** Identifies the input of stages that take no results of other stages. */
  readonly pieceKey: string;
  readonly generation: GenerationFacts | undefined;
  /** Id of the last event of a stream that the request continues; undefined for a new stream. */
  readonly lastEventId: string | undefined;
  /** Id of the caller's request that brought the first event of that stream; undefined when the caller names none. */
  readonly resumesRequestId: string | undefined;
}

/** Contents of the headers of an attempt that is sent to a backend server. */
export interface AttemptFacts {
  readonly serverId: string;
  readonly remainingMs: number;
  readonly organisation: string | undefined;
  /** Handles of the results of the last stages, in order; undefined for a route without stages. */
  readonly results: readonly string[] | undefined;
  /** Id of the last event that the caller has received, when a stream is resumed. */
  readonly lastEventId: string | undefined;
  /** Rank of the request, 0 first. */
  readonly priority: number;
}

/** Load that a server reports in an answer. */
export interface ServerLoadFacts {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current processing time relative to the usual one; undefined when the server does not report it. */
  readonly slowness: number | undefined;
}

/** What an answer says about the rate at which its server takes requests from all hosts together. */
export type RateLimitNotice =
  /** The limit holds until a later answer states another one, or none. */
  | { readonly type: 'stated'; readonly requestsPerSecond: number }
  /** The server takes requests without a limit. */
  | { readonly type: 'none' }
  /** The statement cannot be read; what was known before still holds. */
  | { readonly type: 'invalid' };

/** Status that a server may report about itself in any answer. */
export interface ServerNotice {
  readonly rateLimit: RateLimitNotice;
  /** Whether the server is leaving and must get no new work. */
  readonly leaving: boolean;
  /** Back-off: time for which this host must send the server no requests; undefined when it asks for none. */
  readonly restMs: number | undefined;
}

/** Contents of the headers of a server's answer. */
export interface AnswerFacts extends ServerNotice {
  /** The attempt that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the server signed the answer. */
  readonly signed: boolean;
  /** Whether the server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the request did not run because a result that it needs no longer exists. */
  readonly resultsGone: boolean;
  /** Whether another process answers at the server's address. */
  readonly otherServer: boolean;
  readonly load: ServerLoadFacts | undefined;
}

/** Names and formats of the headers of requests and answers. */
export interface RequestFormat {
  /** Names of callers' headers that are not forwarded, in lower case, in addition to hop-by-hop headers. */
  readonly withheld: ReadonlySet<string>;
  /** Names of the headers on which the meaning of a request depends, in lower case. */
  readonly requestFields: ReadonlySet<string>;
  /** Names of the headers on which the meaning of an answer depends, in lower case. */
  readonly answerFields: ReadonlySet<string>;
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Formats the headers of an attempt; names and values alternate. */
  formatAttempt(attempt: AttemptFacts): readonly string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
  /** Path at which a server states what it is. */
  readonly statePath: string;
  /** Reads the wall time of a server's start from what it states; undefined when it is not stated. */
  readStart(body: string): number | undefined;
}

/** One piece of a call to a stage server. */
export interface PieceItem {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  readonly remainingMs: number;
  readonly input:
    | { readonly type: 'key'; readonly key: string }
    /** Handles of the results of all pieces of the preceding stages. */
    | { readonly type: 'results'; readonly results: readonly string[] };
}

/** Result of a piece, or the reason why there is none. */
export type PieceAnswer =
  { readonly type: 'done'; readonly result: string } | { readonly type: 'late' | 'input-gone' | 'no-room' | 'failed' };

/** Format of calls to stage servers. */
export interface StageFormat {
  readonly runPath: string;
  readonly releasePath: string;
  formatRun(items: readonly PieceItem[]): string;
  /** Parses the answer to a run call; undefined when it is invalid. */
  readRun(body: string): readonly PieceAnswer[] | undefined;
  formatRelease(results: readonly string[]): string;
  /** Reads the address, `IP:PORT`, of the server that holds a result from the handle of the result. */
  readHolderAddress(result: string): string;
  /** Formats the headers of a call to a server; names and values alternate. */
  formatHeaders(serverId: string): readonly string[];
  readNotice(status: number, headers: HttpHeaders): ServerNotice;
}

/** Entry of a backend server, as the server registered itself. */
export interface ServerEntry {
  readonly serverId: string;
  readonly pool: string;
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
  /** Version of its software, an opaque word; empty when its entry names none. */
  readonly softwareVersion: string;
  /** Wall time of the server's start; another value means a new process without the state of the previous one. */
  readonly startedAtMs: number;
  /** Time for which the server says that it stays cold, as of the write; undefined when it is warm. */
  readonly coldMs?: number;
}

/** Keys and formats of the entries in the store. */
export interface CatalogueFormat {
  readonly routeTableKey: string;
  readonly serverPrefix: string;
  /** Prefix of the keys of failure domains that are evacuated; the name of the domain follows. */
  readonly evacuationPrefix: string;
  /** Prefix of the keys of gateway hosts, which this system writes. */
  readonly hostPrefix: string;
  /** Prefix of the keys of requests that are blocked because they crash servers; this system writes them too. */
  readonly blockPrefix: string;
  /** Key of the agreed origins of streams, which this system writes. */
  readonly agreedOriginsKey: string;
  /** Prefix of the keys of the origins of single streams; it sorts after all other keys, which hosts follow. */
  readonly streamPrefix: string;
  /** Prefix of the keys of releases, by which operators end the block of a request. */
  readonly releasePrefix: string;
  /** Parses a route table; undefined when it is invalid. */
  readRouteTable(text: string): RouteTable | undefined;
  /** Parses the entry of a server; undefined when it names no server that can be used. */
  readServer(serverId: string, text: string): ServerEntry | undefined;
}

/** Names and formats that the platform defines for the gateway. */
export interface GatewayFormats {
  readonly requests: RequestFormat;
  readonly stages: StageFormat;
  readonly catalogue: CatalogueFormat;
}
