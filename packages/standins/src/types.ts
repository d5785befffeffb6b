/** A running stand-in server. */
export interface Standin {
  readonly port: number;
  close(): Promise<void>;
}

/** Address and port on which a stand-in listens; port 0 selects a free port. */
export interface ListenOptions {
  readonly address: string;
  readonly port: number;
}

/** A point in the processing of a request by a backend server, as passed to the observer. */
export interface ServerPoint {
  /** `received`: before the execution; `executed`: after it, before the response; `token`: before a token is sent. */
  readonly type: 'received' | 'executed' | 'token';
  readonly serverId: string;
  readonly kind: string;
  readonly requestId: string;
  /** Caller's marker in the input; empty when the input has none. */
  readonly echo: string;
  readonly tokenIndex?: number;
  /** Number of tokens of the complete response; only for `token`. */
  readonly tokenCount?: number;
}

/** A point in a call to the store: before or after the call takes effect. */
export interface StorePoint {
  readonly type: 'before' | 'after';
  readonly call: string;
  /** Keys that the call writes, or first keys of the ranges that it deletes; empty for reads. */
  readonly writtenKeys: readonly string[];
}

/** Observer in the same process, called at each point; the stand-in waits for the returned promise. */
export type Observer<Point> = (point: Point) => Promise<void> | void;
