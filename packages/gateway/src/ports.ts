import type { IncomingHttpHeaders } from 'node:http';
import type { RouteTable } from '@bergamotcove/config';

/** Headers of an answer by name, in lower case. */
export type HttpHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** A part of a prompt; requests share parts. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** What a caller says about a generation. */
export interface GenerationFacts {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate, right at the median. */
  readonly expectedOutputTokens: number;
  /** Parts of the prompt in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
}

/** What the headers of a request say. */
export interface RequestFacts {
  readonly requestId: string | undefined;
  /** Time that the caller will wait. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Pieces of each stage of the route. */
  readonly pieceCounts: readonly number[];
  /** Names the input of stages that take no results. */
  readonly pieceKey: string;
  readonly generation: GenerationFacts | undefined;
}

/** What the system tells a backend server about an attempt. */
export interface AttemptFacts {
  readonly serverId: string;
  readonly remainingMs: number;
  readonly organisation: string | undefined;
  /** Results of the last stages, in order; undefined for a route without stages. */
  readonly results: readonly string[] | undefined;
  /** Last event that the caller has, when a stream is resumed. */
  readonly lastEventId: string | undefined;
  /** Rank of the request, 0 first. */
  readonly priority: number;
}

/** Load that a server tells in an answer. */
export interface ServerLoadFacts {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time of work at this moment, relative to what is usual; undefined when the server does not tell it. */
  readonly slowness: number | undefined;
}

/** What a server says about itself in any of its answers. */
export interface ServerSigns {
  /** Whether it is leaving and wants no new work. */
  readonly leaving: boolean;
  /** Time for which it wants no requests from this host; undefined when it does not ask for that. */
  readonly restMs: number | undefined;
}

/** What the headers of a server's answer say. */
export interface AnswerFacts extends ServerSigns {
  /** The attempt that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the server signed the answer. */
  readonly signed: boolean;
  /** Whether the server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether it did not run because a result that it needs does not exist any more. */
  readonly resultsGone: boolean;
  /** Whether another process answers at the server's address. */
  readonly otherServer: boolean;
  readonly load: ServerLoadFacts | undefined;
}

/** Names and formats of the headers of requests and answers. */
export interface RequestFormat {
  /** Headers of callers that are not passed on, in lower case, besides those of one connection. */
  readonly withheld: ReadonlySet<string>;
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Headers of an attempt, names and values in turn. */
  formatAttempt(attempt: AttemptFacts): readonly string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}

/** One piece of a call to a stage server. */
export interface PieceItem {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  readonly remainingMs: number;
  readonly input:
    | { readonly type: 'key'; readonly key: string }
    /** Handles of all pieces of the stages before. */
    | { readonly type: 'results'; readonly results: readonly string[] };
}

/** What became of a piece. */
export type PieceAnswer =
  { readonly type: 'done'; readonly result: string } | { readonly type: 'late' | 'input-gone' | 'no-room' | 'failed' };

/** Format of calls to stage servers. */
export interface StageFormat {
  readonly runPath: string;
  readonly releasePath: string;
  formatRun(items: readonly PieceItem[]): string;
  /** Reads the answer; undefined when it is not one. */
  readRun(body: string): readonly PieceAnswer[] | undefined;
  formatRelease(results: readonly string[]): string;
  /** Address of the server that holds a result, `IP:PORT`. */
  readMaker(result: string): string;
  /** Headers of a call to the server, names and values in turn. */
  formatHeaders(serverId: string): readonly string[];
  readSigns(status: number, headers: HttpHeaders): ServerSigns;
}

/** A backend server as it registered itself. */
export interface ServerEntry {
  readonly serverId: string;
  readonly pool: string;
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
  /** Wall time of the server's start; another value is another process that knows nothing of before. */
  readonly startedAtMs: number;
}

/** Keys and formats of what others write to the store. */
export interface CatalogueFormat {
  readonly routeTableKey: string;
  readonly serverPrefix: string;
  /** Prefix of the keys that this system writes. */
  readonly hostPrefix: string;
  /** Prefix of the keys of requests that crash servers; this system writes them too. */
  readonly blockPrefix: string;
  /** Prefix of the keys of requests that operators have released from their block. */
  readonly releasePrefix: string;
  /** Reads a route table; undefined when it cannot be read. */
  readRouteTable(text: string): RouteTable | undefined;
  /** Reads the entry of a server; undefined when it names no server to use. */
  readServer(serverId: string, text: string): ServerEntry | undefined;
}

/** Everything that the gateway does not decide about names and formats. */
export interface GatewayFormats {
  readonly requests: RequestFormat;
  readonly stages: StageFormat;
  readonly catalogue: CatalogueFormat;
}
