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

/** One call to a store, with the parser of its answer. */
export interface StoreCall<Result> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /**
   * Parses the answer.
   *
   * @throws BackendError `rejected` when the store rejected the call, `invalid-answer` when the answer is malformed
   */
  readonly read: (status: number, body: string) => Result;
}

/** One page of a range. */
export interface RangePage extends RangeResult {
  /** Call that reads the next page; undefined on the last one. */
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
  /** Name, in lower case, of the response header with the era of the store; undefined for a store without eras. */
  readonly eraHeader?: string;
  /** Watches the keys that start with the prefix; see {@link StoreClient.watch}. */
  watch(http: HttpClient, target: Target, options: WatchOptions): Observable<WatchEvent>;
}

/** Options of {@link StoreDialect.watch}. */
export interface WatchOptions extends WatchLimits {
  readonly prefix: string;
  /** First revision whose changes are reported. */
  readonly fromRevision: string;
  /** Reads the era from the headers of an answer; throws when it is earlier than the known era. */
  readonly readEra: (headers: IncomingHttpHeaders) => number;
}
