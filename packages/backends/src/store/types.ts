import type { Observable } from 'rxjs';

/** One key of the store with its value. Revisions are decimal strings, because they are 64 bits wide. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: string;
  readonly modRevision: string;
}

/** Entries of a range, and the revision of the store at which they were read. */
export interface RangeResult {
  readonly entries: readonly StoreEntry[];
  readonly revision: string;
  /** Era to which the revision belongs, if the store reports one. */
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

/** Result of a transaction; `succeeded` tells whether all conditions were met. */
export interface TxnResult {
  readonly succeeded: boolean;
  readonly revision: string;
  /** Results of the `get` operations that ran, in order; undefined for a key that does not exist. */
  readonly gets: readonly (StoreEntry | undefined)[];
}

/** Event of a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly entry: StoreEntry }
  /** The key was deleted; `revision` is that of the deletion, if the store reports it. */
  | { readonly type: 'delete'; readonly key: string; readonly revision?: string }
  /** The watch has started, or all changes up to this revision of the store were reported. */
  | { readonly type: 'started'; readonly revision: string };

/** Bounds of a range read. */
export interface RangeOptions {
  /** Exclusive end; by default the end of the range of all keys that start with the prefix. */
  readonly rangeEnd?: string;
  readonly limit?: number;
}

/** Limits of a watch. */
export interface WatchLimits {
  /** Longest time between two messages of the store; the default is set by the dialect. */
  readonly quietMs?: number;
  /** Era to which the first revision belongs; the watch fails as `compacted` when the store is in another one. */
  readonly era?: number;
}

/** Client of the configuration store. Calls reject with BackendError. */
export interface StoreClient {
  /** Reads one key. */
  get(key: string): Promise<StoreEntry | undefined>;
  /** Reads the keys that start with the prefix, or the keys in [prefix, rangeEnd). */
  range(prefix: string, options?: RangeOptions): Promise<RangeResult>;
  /** Runs `success` if every condition is met, else `failure`. */
  txn(compares: readonly Compare[], success: readonly StoreOp[], failure?: readonly StoreOp[]): Promise<TxnResult>;
  /** Watches the keys that start with the prefix; fails when the connection breaks. */
  watch(prefix: string, fromRevision: string, limits?: WatchLimits): Observable<WatchEvent>;
  /** Grants a lease and returns its id. */
  grantLease(ttlMs: number): Promise<string>;
  /** Renews a lease and returns its remaining time in ms; zero when it has expired. */
  keepAlive(leaseId: string): Promise<number>;
  revokeLease(leaseId: string): Promise<void>;
  close(): void;
}
