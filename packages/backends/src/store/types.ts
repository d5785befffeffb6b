import type { Observable } from 'rxjs';

/** One key of the store. Revisions are decimal strings, because they are 64 bits wide. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: string;
  readonly modRevision: string;
}

/** Entries of a range and the revision of the store when they were read. */
export interface RangeResult {
  readonly entries: readonly StoreEntry[];
  readonly revision: string;
  /** Era in which the revision counts, where the store tells it. */
  readonly era?: number;
}

/** Condition of a transaction. A revision of '0' means that the key does not exist. */
export type Compare =
  | { readonly type: 'create-revision'; readonly key: string; readonly revision: string }
  | { readonly type: 'mod-revision'; readonly key: string; readonly revision: string };

/** One write or read of a transaction. */
export type StoreOp =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string }
  | { readonly type: 'delete'; readonly key: string; readonly rangeEnd?: string }
  | { readonly type: 'get'; readonly key: string };

/** Result of a transaction. */
export interface TxnResult {
  readonly succeeded: boolean;
  readonly revision: string;
  /** Entries of the `get` operations that ran, in order; undefined where a key does not exist. */
  readonly gets: readonly (StoreEntry | undefined)[];
}

/** A change seen by a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly entry: StoreEntry }
  /** The key was deleted; `revision` is that of the delete, where the store tells it. */
  | { readonly type: 'delete'; readonly key: string; readonly revision?: string }
  /** The watch is in place, or everything up to this revision of the store was reported. */
  | { readonly type: 'started'; readonly revision: string };

/** Bounds of a range read. */
export interface RangeOptions {
  /** Exclusive end; the prefix range of `key` by default. */
  readonly rangeEnd?: string;
  readonly limit?: number;
}

/** Limits of a watch. */
export interface WatchLimits {
  /** Longest time between two signs that the store still answers; by default that of the dialect. */
  readonly quietMs?: number;
  /** Era in which the first revision counts; a watch ends as `compacted` when the store is in another one. */
  readonly era?: number;
}

/** Client of the configuration store. Calls reject with BackendError. */
export interface StoreClient {
  /** Reads one key. */
  get(key: string): Promise<StoreEntry | undefined>;
  /** Reads the keys that start with the prefix, or the keys in [prefix, rangeEnd). */
  range(prefix: string, options?: RangeOptions): Promise<RangeResult>;
  /** Runs `success` if every compare holds, else `failure`. */
  txn(compares: readonly Compare[], success: readonly StoreOp[], failure?: readonly StoreOp[]): Promise<TxnResult>;
  /** Watches the keys that start with the prefix; ends with an error when the connection breaks. */
  watch(prefix: string, fromRevision: string, limits?: WatchLimits): Observable<WatchEvent>;
  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): Promise<string>;
  /** Renews a lease and returns its remaining time in ms; zero when it has lapsed. */
  keepAlive(leaseId: string): Promise<number>;
  revokeLease(leaseId: string): Promise<void>;
  close(): void;
}
