import type { IncomingHttpHeaders } from 'node:http';
import type { Observable } from 'rxjs';
import { createHttpClient, TransportError, type HttpClient, type Target } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';
import type { RangePage, StoreCall, StoreDialect } from './dialect.js';
import fetchAnswer from './_lib/fetchAnswer.js';
import createEraTracker, { type EraTracker } from './createEraTracker.js';
import jsonDialect from './jsonDialect.js';
import type {
  Compare,
  RangeOptions,
  RangeResult,
  StoreClient,
  StoreEntry,
  StoreOp,
  TxnResult,
  WatchEvent,
  WatchLimits,
} from './types.js';

/** Options of {@link createStoreClient}. */
export interface StoreClientOptions {
  readonly urls: readonly string[];
  /** Time limit until the headers of an answer arrive. */
  readonly timeoutMs: number;
  /** Wire format of the store; by default that of the product's own store. */
  readonly dialect?: StoreDialect;
  /** Tracks the era of a store that reports one. */
  readonly eras?: EraTracker;
  /** Called after each call, for metrics. */
  readonly onCall?: (call: string, result: 'ok' | 'failed') => void;
  /** Called with each exception that was thrown while an answer was read; its call has failed. */
  readonly onFault?: (error: Error) => void;
}

const JSON_HEADERS = { 'content-type': 'application/json' };

const toTarget = (url: string): Target => {
  const parsed = new URL(url);
  return { address: parsed.hostname, port: Number(parsed.port) };
};

const toBackendError = (cause: unknown): BackendError => {
  if (cause instanceof BackendError) {
    return cause;
  }
  const lost = !(cause instanceof TransportError) || cause.code !== 'not-connected';
  return new BackendError(lost ? 'outcome-unknown' : 'unavailable', 'the store did not answer', { cause });
};

/** Store client over HTTP and JSON. */
class HttpStoreClient implements StoreClient {
  private readonly http: HttpClient;

  private readonly targets: readonly Target[];

  private readonly dialect: StoreDialect;

  private readonly eras: EraTracker;

  private targetIndex = 0;

  constructor(private readonly options: StoreClientOptions) {
    const { onFault } = options;
    this.http = createHttpClient(onFault === undefined ? {} : { onFault });
    this.targets = options.urls.map(toTarget);
    this.dialect = options.dialect ?? jsonDialect;
    this.eras = options.eras ?? createEraTracker();
  }

  get(key: string): Promise<StoreEntry | undefined> {
    return this.send(this.dialect.get(key));
  }

  async range(prefix: string, bounds: RangeOptions = {}): Promise<RangeResult> {
    const entries: StoreEntry[] = [];
    let revision: string | undefined;
    let era: number | undefined;
    let call: StoreCall<RangePage> | undefined = this.dialect.range(prefix, bounds);
    while (call !== undefined) {
      // The call of the next page depends on the current page.
      // eslint-disable-next-line no-await-in-loop
      const page: RangePage = await this.send(call);
      era ??= this.eras.era;
      if (era !== this.eras.era) {
        throw new BackendError('unavailable', 'the store was restored from an older copy between two pages');
      }
      entries.push(...page.entries);
      // Pages are read at different revisions. A watch that starts at the first one misses nothing; it only repeats
      // changes that later pages already contain.
      revision ??= page.revision;
      call = page.next;
    }
    return { entries, revision: revision ?? '0', ...(era === undefined ? {} : { era }) };
  }

  txn(compares: readonly Compare[], success: readonly StoreOp[], failure: readonly StoreOp[] = []): Promise<TxnResult> {
    return this.send(this.dialect.txn(compares, success, failure));
  }

  watch(prefix: string, fromRevision: string, limits: WatchLimits = {}): Observable<WatchEvent> {
    const readEra = (headers: IncomingHttpHeaders): number => this.readEra(headers);
    return this.dialect.watch(this.http, this.target(), { prefix, fromRevision, readEra, ...limits });
  }

  grantLease(ttlMs: number): Promise<string> {
    return this.send(this.dialect.grantLease(ttlMs));
  }

  keepAlive(leaseId: string): Promise<number> {
    return this.send(this.dialect.keepAlive(leaseId));
  }

  revokeLease(leaseId: string): Promise<void> {
    return this.send(this.dialect.revokeLease(leaseId));
  }

  close(): void {
    this.http.close();
  }

  private target(): Target {
    return this.targets[this.targetIndex % this.targets.length] as Target;
  }

  private readEra(headers: IncomingHttpHeaders): number {
    const { eraHeader } = this.dialect;
    const text = eraHeader === undefined ? undefined : headers[eraHeader];
    const era = this.eras.read(Array.isArray(text) ? text.join(',') : text);
    if (era < this.eras.era) {
      throw new BackendError(
        'outcome-unknown',
        'the answer is of an earlier era, before the store was restored from an older copy',
      );
    }
    return era;
  }

  private async send<Result>({ method, path, body, read }: StoreCall<Result>): Promise<Result> {
    try {
      const request = { method, path, ...(body === undefined ? {} : { body, headers: JSON_HEADERS }) };
      const limits = { headTimeoutMs: this.options.timeoutMs, abort: new AbortController() };
      const response = await fetchAnswer(this.http, this.target(), request, limits);
      this.readEra(response.headers);
      const result = read(response.status, response.body);
      this.options.onCall?.(path, 'ok');
      return result;
    } catch (cause) {
      this.targetIndex += 1;
      this.options.onCall?.(path, 'failed');
      throw toBackendError(cause);
    }
  }
}

/**
 * Creates a client of the configuration store. After a failed call, later calls go to the next address. The client does
 * not retry calls, because a call without an answer may have taken effect.
 *
 * @param options - addresses and time limit per call
 * @returns the client
 * @example
 * const store = createStoreClient({ urls: ['http://10.0.0.5:2379'], timeoutMs: 1_000 });
 */
export default function createStoreClient(options: StoreClientOptions): StoreClient {
  return new HttpStoreClient(options);
}
