import type { IncomingHttpHeaders } from 'node:http';
import type { Observable } from 'rxjs';
import type { HttpClient, Target } from '@bergamotcove/transport';
import type {
  Compare,
  RangeOptions,
  RangeResult,
  StoreEntry,
  StoreOp,
  TxnResult,
  WatchEvent,
  WatchLimits,
} from './types.js';

/** One call of a store, with the reader of its answer. */
export interface StoreCall<Result> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /**
   * Reads the answer.
   *
   * @throws BackendError `rejected` when the store refused the call, `invalid-answer` for anything unexpected
   */
  readonly read: (status: number, body: string) => Result;
}

/** One page of a range. */
export interface RangePage extends RangeResult {
  /** Call of the next page; undefined on the last one. */
  readonly next?: StoreCall<RangePage>;
}

/** Wire format of a store. */
export interface StoreDialect {
  get(key: string): StoreCall<StoreEntry | undefined>;
  range(prefix: string, options: RangeOptions): StoreCall<RangePage>;
  txn(compares: readonly Compare[], success: readonly StoreOp[], failure: readonly StoreOp[]): StoreCall<TxnResult>;
  grantLease(ttlMs: number): StoreCall<string>;
  keepAlive(leaseId: string): StoreCall<number>;
  revokeLease(leaseId: string): StoreCall<void>;
  /** Header of all answers that tells the era of the store, in lower case; undefined for a store without eras. */
  readonly eraHeader?: string;
  /** Watches the keys that start with the prefix; see {@link StoreClient.watch}. */
  watch(http: HttpClient, target: Target, options: WatchOptions): Observable<WatchEvent>;
}

/** What is watched. */
export interface WatchOptions extends WatchLimits {
  readonly prefix: string;
  /** First revision that is reported. */
  readonly fromRevision: string;
  /** Takes the headers of an answer; returns its era, and throws when it is of an earlier one than is known. */
  readonly readEra: (headers: IncomingHttpHeaders) => number;
}
