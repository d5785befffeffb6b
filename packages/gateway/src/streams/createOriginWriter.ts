import type { StoreClient } from '@bergamotcove/backends';
import type { Clock, Timer } from '@bergamotcove/clock';
import type { StreamOrigin } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import { formatStreamKey } from './originTexts.js';

/** Writes the origins of streams to the store, many in one call. */
export interface OriginWriter {
  /** Whether the last write succeeded. */
  readonly isWritable: boolean;
  /** Writes the origin of a stream; resolves to whether the store has it. A failed write is repeated later. */
  write(requestId: string, origin: StreamOrigin): Promise<boolean>;
  close(): void;
}

/** Options of {@link createOriginWriter}. */
export interface OriginWriterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly store: Pick<StoreClient, 'grantLease' | 'txn'>;
  readonly prefix: string;
  /** Time for which a record has to be kept. */
  readonly streamLifeMs: () => number;
}

interface Pending {
  readonly requestId: string;
  readonly origin: StreamOrigin;
  readonly endsAtMs: number;
  resolve: (written: boolean) => void;
}

/** Limit of the store on the entries of one write. */
const MAX_ENTRIES = 32;
const RETRY_MS = 300;
const MAX_PENDING = 5_000;

const ignoreResult = (): void => undefined;

class Writer implements OriginWriter {
  isWritable = true;

  private pending: Pending[] = [];

  private isWriting = false;

  private lease: { readonly leaseId: string; readonly endsAtMs: number } | undefined;

  private timer: Timer | undefined;

  private closed = false;

  constructor(private readonly options: OriginWriterOptions) {}

  write(requestId: string, origin: StreamOrigin): Promise<boolean> {
    return new Promise((resolve) => {
      const endsAtMs = this.options.clock.monotonicMs() + this.options.streamLifeMs();
      this.pending.push({ requestId, origin, endsAtMs, resolve });
      this.flush();
    });
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private flush(): void {
    if (this.isWriting || this.closed || this.pending.length === 0) {
      return;
    }
    this.isWriting = true;
    this.timer?.close();
    const batch = this.pending.slice(0, MAX_ENTRIES);
    this.send(batch).then(
      () => this.endWrite(batch, true),
      () => this.endWrite(batch, false),
    );
  }

  private async send(batch: readonly Pending[]): Promise<void> {
    const { store, prefix } = this.options;
    const leaseId = await this.readLease();
    // The last origin of a stream counts: nothing was passed on from the servers before.
    const texts = new Map(batch.map(({ requestId, origin }) => [requestId, JSON.stringify(origin)]));
    const puts = [...texts].map(([requestId, value]) => ({
      type: 'put' as const,
      key: formatStreamKey(prefix, requestId),
      value,
      leaseId,
    }));
    await store.txn([], puts);
  }

  /** Keys under one lease end together, so a new lease is granted while the records of the old one must be kept. */
  private async readLease(): Promise<string> {
    const { clock, store, streamLifeMs } = this.options;
    const { lease } = this;
    const nowMs = clock.monotonicMs();
    const lifeMs = streamLifeMs();
    if (lease !== undefined && lease.endsAtMs - nowMs > lifeMs) {
      return lease.leaseId;
    }
    const leaseId = await store.grantLease(2 * lifeMs);
    this.lease = { leaseId, endsAtMs: nowMs + 2 * lifeMs };
    return leaseId;
  }

  private endWrite(batch: readonly Pending[], written: boolean): void {
    const { clock, logger, metrics } = this.options;
    this.isWriting = false;
    if (this.isWritable !== written) {
      this.isWritable = written;
      logger.event(written ? 'streamOriginsStored' : 'streamOriginsNotStored', { pending: this.pending.length });
    }
    metrics.report('streams.origin_writes', 1, { result: written ? 'written' : 'failed' });
    batch.forEach((entry) => entry.resolve(written));
    if (written) {
      this.pending = this.pending.slice(batch.length);
      this.flush();
      return;
    }
    // The lease may have ended with the connection, or in an outage.
    this.lease = undefined;
    const nowMs = clock.monotonicMs();
    this.pending.slice(batch.length).forEach((entry) => entry.resolve(false));
    this.pending = this.pending.filter(({ endsAtMs }) => endsAtMs > nowMs).slice(-MAX_PENDING);
    this.pending.forEach((entry) => Object.assign(entry, { resolve: ignoreResult }));
    if (this.pending.length === 0) {
      this.isWritable = true;
    }
    this.timer = clock.schedule(RETRY_MS, () => this.flush());
  }
}

/**
 * Creates the writer of stream origins. It has one write in progress at a time; origins that arrive meanwhile share the
 * next one.
 *
 * @param options - store, prefix of the keys, and the time to keep them
 * @returns the writer; close it to stop its retries
 */
export default function createOriginWriter(options: OriginWriterOptions): OriginWriter {
  return new Writer(options);
}
