import type { Observable } from 'rxjs';
import { createHttpClient, TransportError, type Target } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';
import {
  encodeText,
  formatCompare,
  formatOp,
  keepAliveAnswerSchema,
  leaseAnswerSchema,
  parseAnswer,
  prefixEnd,
  rangeAnswerSchema,
  toEntry,
  txnAnswerSchema,
} from './_lib/wire.js';
import type {
  Compare,
  RangeOptions,
  RangeResult,
  StoreClient,
  StoreEntry,
  StoreOp,
  TxnResult,
  WatchEvent,
} from './types.js';
import watchStore from './watchStore.js';

/** Options of {@link createStoreClient}. */
export interface StoreClientOptions {
  readonly urls: readonly string[];
  readonly timeoutMs: number;
  /** Called after each call, for metrics. */
  readonly onCall?: (call: string, result: 'ok' | 'failed') => void;
}

const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;

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
  private readonly http = createHttpClient();

  private readonly targets: readonly Target[];

  private current = 0;

  constructor(private readonly options: StoreClientOptions) {
    this.targets = options.urls.map(toTarget);
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    const answer = parseAnswer(rangeAnswerSchema, await this.post('/v3/kv/range', { key: encodeText(key) }));
    return answer.kvs.map(toEntry)[0];
  }

  async range(prefix: string, bounds: RangeOptions = {}): Promise<RangeResult> {
    const body = {
      key: encodeText(prefix),
      range_end: encodeText(bounds.rangeEnd ?? prefixEnd(prefix)),
      ...(bounds.limit === undefined ? {} : { limit: String(bounds.limit) }),
    };
    const answer = parseAnswer(rangeAnswerSchema, await this.post('/v3/kv/range', body));
    return { entries: answer.kvs.map(toEntry), revision: answer.header.revision };
  }

  async txn(
    compares: readonly Compare[],
    success: readonly StoreOp[],
    failure: readonly StoreOp[] = [],
  ): Promise<TxnResult> {
    const body = {
      compare: compares.map(formatCompare),
      success: success.map(formatOp),
      failure: failure.map(formatOp),
    };
    const answer = parseAnswer(txnAnswerSchema, await this.post('/v3/kv/txn', body));
    const gets = answer.responses.flatMap(({ response_range: read }) =>
      read === undefined ? [] : [read.kvs.map(toEntry)[0]],
    );
    return { succeeded: answer.succeeded, revision: answer.header.revision, gets };
  }

  watch(prefix: string, fromRevision: string): Observable<WatchEvent> {
    return watchStore(this.http, this.target(), { prefix, fromRevision });
  }

  async grantLease(ttlMs: number): Promise<string> {
    const body = { TTL: String(Math.ceil(ttlMs / MS_PER_SECOND)) };
    return parseAnswer(leaseAnswerSchema, await this.post('/v3/lease/grant', body)).ID;
  }

  async keepAlive(leaseId: string): Promise<number> {
    const answer = parseAnswer(keepAliveAnswerSchema, await this.post('/v3/lease/keepalive', { ID: leaseId }));
    return Number(answer.result.TTL) * MS_PER_SECOND;
  }

  async revokeLease(leaseId: string): Promise<void> {
    await this.post('/v3/kv/lease/revoke', { ID: leaseId });
  }

  close(): void {
    this.http.close();
  }

  private target(): Target {
    return this.targets[this.current % this.targets.length] as Target;
  }

  private async post(path: string, body: object): Promise<string> {
    try {
      const response = await this.http.send(this.target(), {
        method: 'POST',
        path,
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.options.timeoutMs),
      });
      if (response.status !== STATUS_OK) {
        throw new BackendError('rejected', `the store answered ${path} with status ${response.status}`);
      }
      this.options.onCall?.(path, 'ok');
      return response.body;
    } catch (cause) {
      this.current += 1;
      this.options.onCall?.(path, 'failed');
      throw toBackendError(cause);
    }
  }
}

/**
 * Creates a client of the configuration store. After a failed call later calls go to the next address; the client
 * never sends a call twice by itself, because a lost reply may hide an effect.
 *
 * @param options - addresses and time limit per call
 * @returns the client
 * @example
 * const store = createStoreClient({ urls: ['http://10.0.0.5:2379'], timeoutMs: 1_000 });
 */
export default function createStoreClient(options: StoreClientOptions): StoreClient {
  return new HttpStoreClient(options);
}
