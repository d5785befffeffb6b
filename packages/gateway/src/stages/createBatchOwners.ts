import type { Clock } from '@bergamotcove/clock';
import type { BatchPoolState } from '@bergamotcove/decide';
import { reportReaderFault, type Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import { createHttpClient, type HttpClient, type LinkMethod, type LinkPeer } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import type { StageFormat } from '../ports.js';
import createPeerResults from './createPeerResults.js';
import type { BatchOwner } from './BatchOwner.js';
import createBatchOwner from './createBatchOwner.js';
import {
  CANCEL_STAGE,
  RELEASE_RESULTS,
  RUN_STAGE,
  type ReleasedResults,
  type StageInput,
  type StageJob,
  type StageJobResult,
} from './messages.js';

/** The batch owners of this host, one for each pool that it gets jobs for. */
export interface BatchOwners {
  run(job: StageJob): Promise<StageJobResult>;
  cancel(pool: string, jobId: string): void;
  release(released: ReleasedResults): void;
  /** Methods that other hosts call. */
  readonly methods: Readonly<Record<string, LinkMethod>>;
  onState(sink: PoolStateSink): void;
  onInputsUsed(sink: ResultSink): void;
  /** Hands over the pools that this host no longer owns. */
  updateOwnership(isOwner: (pool: string) => boolean): void;
  /**
   * Hands over all pools and answers further jobs of other hosts with `moved`, because this host stops. Own jobs come
   * back only when there is no other host, and are run.
   */
  leave(): void;
  close(): void;
}

/** Options of {@link createBatchOwners}. */
export interface BatchOwnersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly format: StageFormat;
  readonly directory: BackendDirectory;
  readonly limits: RateLimits;
  readonly crashes: CrashGuard;
  readonly tables: RouteTableHolder;
  readonly region: string;
}

/** Receives inputs whose results may be evicted. */
export type ResultSink = (input: StageInput) => void;

/** Receives the state of the servers of a pool. */
export type PoolStateSink = (pool: string, state: BatchPoolState) => void;

const MOVED: StageJobResult = { type: 'failed', reason: 'moved', retryAfterMs: 0 };
const UNKNOWN_POOL: StageJobResult = { type: 'failed', reason: 'failed', retryAfterMs: 500 };
/** Limit of connections to one stage server: for calls in progress and for releases at the same time. */
const MAX_CONNECTIONS = 6;
/** Idle connections are closed after this time. */
const IDLE_LIMIT_MS = 20_000;

class Owners implements BatchOwners {
  readonly methods: Readonly<Record<string, LinkMethod>>;

  private readonly owners = new Map<string, BatchOwner>();

  private readonly peerResults = createPeerResults((released) => this.release(released));

  private readonly http: HttpClient;

  private leaving = false;

  private stateSink: PoolStateSink | undefined;

  private inputSink: ResultSink | undefined;

  constructor(private readonly options: BatchOwnersOptions) {
    this.http = createHttpClient({
      maxSockets: MAX_CONNECTIONS,
      idleLimitMs: IDLE_LIMIT_MS,
      onFault: (error) => reportReaderFault(options.logger, error),
    });
    options.directory.onChange(() => this.owners.forEach((owner) => owner.refresh()));
    options.limits.onChange(() => this.owners.forEach((owner) => owner.refresh()));
    options.crashes.onAnyBlocked((fingerprint) => this.owners.forEach((owner) => owner.block(fingerprint)));
    this.methods = {
      [RUN_STAGE]: (params, peer) => this.runForPeer(peer, params as StageJob),
      [CANCEL_STAGE]: (params) => {
        const { pool, jobId } = params as { readonly pool: string; readonly jobId: string };
        this.cancel(pool, jobId);
        return true;
      },
      [RELEASE_RESULTS]: (params, peer) => {
        const released = params as ReleasedResults;
        if (released.spare !== true) {
          this.peerResults.remove(peer, released);
        }
        this.release(released);
        return true;
      },
    };
  }

  run(job: StageJob): Promise<StageJobResult> {
    return this.findOrCreate(job.pool)?.run(job) ?? Promise.resolve(UNKNOWN_POOL);
  }

  cancel(pool: string, jobId: string): void {
    this.owners.get(pool)?.cancel(jobId);
  }

  release({ pool, results, spare }: ReleasedResults): void {
    if (spare === true) {
      this.owners.get(pool)?.markEvictable(results);
    } else {
      this.owners.get(pool)?.release(results);
    }
  }

  onState(sink: PoolStateSink): void {
    this.stateSink = sink;
  }

  onInputsUsed(sink: ResultSink): void {
    this.inputSink = sink;
  }

  updateOwnership(isOwner: (pool: string) => boolean): void {
    this.owners.forEach((owner, pool) => {
      if (!isOwner(pool)) {
        owner.handOver();
      }
    });
  }

  leave(): void {
    this.leaving = true;
    this.owners.forEach((owner) => owner.handOver());
  }

  close(): void {
    this.owners.forEach((owner) => owner.close());
    this.http.close();
  }

  /** Runs a job of another host. The job is cancelled when the link to that host closes. */
  private async runForPeer(peer: LinkPeer, job: StageJob): Promise<StageJobResult> {
    const stopListening = peer.onClose(() => this.cancel(job.pool, job.jobId));
    try {
      return this.leaving ? MOVED : this.peerResults.add(peer, job.pool, await this.run(job));
    } finally {
      stopListening();
    }
  }

  private findOrCreate(pool: string): BatchOwner | undefined {
    const { tables, logger } = this.options;
    const known = this.owners.get(pool);
    const spec = tables.current()?.pools.get(pool)?.batch;
    if (known !== undefined || spec === undefined) {
      return known;
    }
    const owner = createBatchOwner({
      ...this.options,
      http: this.http,
      pool,
      spec,
      onState: (state) => this.stateSink?.(pool, state),
      markInputsEvictable: (input) => this.inputSink?.(input),
    });
    this.owners.set(pool, owner);
    logger.event('batchOwnerStarted', { pool });
    return owner;
  }
}

/**
 * Creates the batch owners of this host. Each owner is created with the first job for its pool.
 *
 * @param options - server directory, route table and call format
 * @returns the owners; close them to stop their timers and connections
 */
export default function createBatchOwners(options: BatchOwnersOptions): BatchOwners {
  return new Owners(options);
}
