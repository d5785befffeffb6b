/** A running stand-in. */
export interface Standin {
  readonly port: number;
  close(): Promise<void>;
}

/** Where a stand-in listens. */
export interface ListenOptions {
  readonly address: string;
  readonly port: number;
}

/** A point in the work of a backend server. */
export interface ServerPoint {
  /** `received`: before anything ran; `executed`: before the answer; `token`: before that token is sent. */
  readonly type: 'received' | 'executed' | 'token';
  readonly serverId: string;
  readonly kind: string;
  readonly requestId: string;
  /** Marker of the caller in the input. */
  readonly echo: string;
  readonly tokenIndex?: number;
  /** Tokens of the whole answer; only for `token`. */
  readonly tokenCount?: number;
}

/** A point in a call of the store: before or after its effect. */
export interface StorePoint {
  readonly type: 'before' | 'after';
  readonly call: string;
  /** Keys that the call writes; empty for reads. */
  readonly writtenKeys: readonly string[];
}

/** Called in the same process at each point; the stand-in goes on when the promise resolves. */
export type Observe<Point> = (point: Point) => Promise<void> | void;
