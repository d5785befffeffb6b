import type { Clock } from '@bergamotcove/clock';
import type { BatchPoolState } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import { createHttpClient, type HttpClient, type LinkMethod } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/createBackendDirectory.js';
import type { RouteTableHolder } from '../catalogue/createRouteTableHolder.js';
import type { StageFormat } from '../ports.js';
import createHoldings from './createHoldings.js';
import createBatchOwner, { type BatchOwner } from './createBatchOwner.js';
import {
  CANCEL_STAGE,
  RELEASE_RESULTS,
  RUN_STAGE,
  type ReleasedResults,
  type StageJob,
  type StageJobResult,
} from './messages.js';

/** The batch owners of this host, one for each pool whose pieces reach it. */
export interface BatchOwners {
  run(job: StageJob): Promise<StageJobResult>;
  cancel(pool: string, jobId: string): void;
  release(released: ReleasedResults): void;
  /** Methods for other hosts. */
  readonly methods: Readonly<Record<string, LinkMethod>>;
  onState(sink: PoolStateSink): void;
  onInputsUsed(sink: ResultSink): void;
  /** The owners of pools may have changed. */
  review(isOwner: (pool: string) => boolean): void;
  /** This host stops: it takes no more jobs. */
  leave(): void;
  close(): void;
}

/** Options of {@link createBatchOwners}. */
export interface BatchOwnersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly format: StageFormat;
  readonly directory: BackendDirectory;
  readonly tables: RouteTableHolder;
  readonly region: string;
}

/** Receives results of a pool that may be given up. */
export type ResultSink = (pool: string, results: readonly string[]) => void;

/** Receives how the servers of a pool do. */
export type PoolStateSink = (pool: string, state: BatchPoolState) => void;

const MOVED: StageJobResult = { type: 'failed', reason: 'moved', retryAfterMs: 0 };
const UNKNOWN_POOL: StageJobResult = { type: 'failed', reason: 'failed', retryAfterMs: 500 };
/** Connections to one stage server: calls in progress, and releases beside them. */
const MAX_CONNECTIONS = 6;
/** Idle connections are closed after this time. */
const IDLE_LIMIT_MS = 20_000;

/**
 * Creates the batch owners of this host. Each begins with its first job.
 *
 * @param options - servers, route table and formats
 * @returns the owners
 */
export default function createBatchOwners(options: BatchOwnersOptions): BatchOwners {
  const owners = new Map<string, BatchOwner>();
  let leaving = false;
  let tellState: PoolStateSink = () => undefined;
  let spareInputs: ResultSink = () => undefined;
  const http: HttpClient = createHttpClient({ maxSockets: MAX_CONNECTIONS, idleLimitMs: IDLE_LIMIT_MS });
  options.directory.onChange(() => owners.forEach((owner) => owner.refresh()));

  const find = (pool: string): BatchOwner | undefined => {
    const known = owners.get(pool);
    const spec = options.tables.current()?.pools.get(pool)?.batch;
    if (known !== undefined || spec === undefined) {
      return known;
    }
    const owner = createBatchOwner({
      ...options,
      http,
      pool,
      spec,
      onState: (state) => tellState(pool, state),
      spareInputs: (from, results) => spareInputs(from, results),
    });
    owners.set(pool, owner);
    options.logger.event('batchOwnerStarted', { pool });
    return owner;
  };
  const run = (job: StageJob): Promise<StageJobResult> =>
    leaving ? Promise.resolve(MOVED) : (find(job.pool)?.run(job) ?? Promise.resolve(UNKNOWN_POOL));
  const cancel = (pool: string, jobId: string): void => owners.get(pool)?.cancel(jobId);
  const release = ({ pool, results, spare }: ReleasedResults): void => {
    if (spare === true) {
      owners.get(pool)?.spare(results);
    } else {
      owners.get(pool)?.release(results);
    }
  };

  const holdings = createHoldings(release);

  const methods: Record<string, LinkMethod> = {
    [RUN_STAGE]: (params, peer) => {
      const job = params as StageJob;
      const forget = peer.onClose(() => cancel(job.pool, job.jobId));
      return run(job)
        .then((result) => holdings.note(peer, job.pool, result))
        .finally(forget);
    },
    [CANCEL_STAGE]: (params) => {
      const { pool, jobId } = params as { readonly pool: string; readonly jobId: string };
      cancel(pool, jobId);
      return true;
    },
    [RELEASE_RESULTS]: (params, peer) => {
      const released = params as ReleasedResults;
      if (released.spare !== true) {
        holdings.forget(peer, released);
      }
      release(released);
      return true;
    },
  };

  return {
    run,
    cancel,
    release,
    methods,
    onState: (sink) => {
      tellState = sink;
    },
    onInputsUsed: (sink) => {
      spareInputs = sink;
    },
    review: (isOwner) => {
      owners.forEach((owner, pool) => {
        if (!isOwner(pool)) {
          owner.handOver();
        }
      });
    },
    leave: () => {
      leaving = true;
      owners.forEach((owner) => owner.handOver());
    },
    close: () => {
      owners.forEach((owner) => owner.close());
      http.close();
    },
  };
}
