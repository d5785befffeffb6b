import type { BatchSpec } from '@bergamotcove/config';
import type { Clock } from '@bergamotcove/clock';
import type { BatchPoolState } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type { HttpClient } from '@bergamotcove/transport';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import type { CrashGuard } from '../crashes/createCrashGuard.js';
import type { RateLimits } from '../limits/createRateLimits.js';
import type { StageFormat } from '../ports.js';
import type { StageInput, StageJob, StageJobResult } from './messages.js';

/** Batches the pieces of all hosts of a region into calls to the stage servers of one pool. */
export interface BatchOwner {
  run(job: StageJob): Promise<StageJobResult>;
  cancel(jobId: string): void;
  /** Fails the jobs of a request that crashes servers. */
  block(fingerprint: string): void;
  release(results: readonly string[]): void;
  /** Lets results be evicted when their memory is needed. */
  markEvictable(results: readonly string[]): void;
  /** Call it when another host owns the pool: jobs of which no piece was sent fail with `moved`. */
  handOver(): void;
  /** Call it when the servers of the pool may have changed. */
  refresh(): void;
  close(): void;
}

/** Options of {@link createBatchOwner}. */
export interface BatchOwnerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
  readonly http: HttpClient;
  readonly format: StageFormat;
  readonly directory: BackendDirectory;
  readonly limits: RateLimits;
  readonly crashes: CrashGuard;
  readonly pool: string;
  readonly spec: BatchSpec;
  readonly region: string;
  /** Lets the owner of another pool evict the results that a job has used. */
  readonly markInputsEvictable: (input: StageInput) => void;
  /** Reports the speed of the servers to the scheduler of the region. */
  readonly onState: (state: BatchPoolState) => void;
}
