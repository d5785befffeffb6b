import type { Clock } from '@bergamotcove/clock';
import { isPermitted } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import { TransportError, type LinkClient } from '@bergamotcove/transport';
import type { HostEntry, HostRegistry } from '../hosts/createHostRegistry.js';
import type { Shape } from '../hosts/matchesShape.js';
import readVariant from '../hosts/readVariant.js';
import type { BatchOwners } from './createBatchOwners.js';
import {
  CANCEL_STAGE,
  RELEASE_RESULTS,
  RUN_STAGE,
  type ReleasedResults,
  type StageJob,
  type StageJobResult,
} from './messages.js';

/** Sends jobs to the batch owners, on this host or others. */
export interface StageClient {
  /** Runs a job. When the call to its owner fails, the next owner gets it while the job has not expired. */
  run(region: string, job: StageJob, signal: AbortSignal): Promise<StageJobResult>;
  release(region: string, pool: string, results: readonly string[]): void;
  /** Lets results be evicted when their memory is needed. */
  markEvictable(region: string, pool: string, results: readonly string[]): void;
}

/** Options of {@link createStageClient}. */
export interface StageClientOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hosts: HostRegistry;
  readonly links: LinkClient;
  readonly local: BatchOwners;
}

const OWNER_LOST: StageJobResult = { type: 'failed', reason: 'failed', retryAfterMs: 500 };

const JOB_RESULTS: Readonly<Record<StageJobResult['type'], Shape>> = {
  done: { results: ['string'] },
  failed: { reason: 'string', 'retryAfterMs?': 'number' },
};

/** Reads the outcome of a job; throws when the answer is none, or does not have a result for each piece. */
const readJobResult = (answer: unknown, { pieceCount }: StageJob): StageJobResult => {
  const result = readVariant<StageJobResult>(answer, JOB_RESULTS);
  if (result === undefined || (result.type === 'done' && result.results.length !== pieceCount)) {
    throw new TransportError('invalid-message', 'the answer to a stage job has missing or wrong fields');
  }
  return result;
};

/** Limit on the calls to owners for one job. */
const MAX_OWNER_ATTEMPTS = 4;

class Client implements StageClient {
  constructor(private readonly options: StageClientOptions) {}

  async run(region: string, job: StageJob, signal: AbortSignal): Promise<StageJobResult> {
    const { clock, logger, hosts } = this.options;
    const startedAtMs = clock.monotonicMs();
    // When a host of another region is lost, the whole region may be unreachable; the job falls back to the own region
    // if it may run there.
    let ownerLost = false;
    for (let sends = 0; sends < MAX_OWNER_ATTEMPTS && !signal.aborted; sends += 1) {
      const fallsBack = ownerLost && isPermitted(job.homeRegions, hosts.self.region);
      const [owner = hosts.self] = hosts.rankOwners(job.pool, fallsBack ? hosts.self.region : region);
      if (!isPermitted(job.homeRegions, owner.region)) {
        return OWNER_LOST;
      }
      const elapsedMs = clock.monotonicMs() - startedAtMs;
      if (elapsedMs >= job.expiresInMs) {
        return { type: 'failed', reason: 'late', retryAfterMs: 0 };
      }
      const remainingJob = { ...job, dueInMs: job.dueInMs - elapsedMs, expiresInMs: job.expiresInMs - elapsedMs };
      try {
        // The next owner is called only after the call to this one has failed.
        // eslint-disable-next-line no-await-in-loop
        const result = await this.callOwner(owner, remainingJob, signal);
        if (result.type === 'done' || result.reason !== 'moved') {
          return result;
        }
        hosts.noteMoved(owner.hostId);
      } catch {
        ownerLost = true;
        hosts.noteSilent(owner.hostId);
        const { requestId, stage, pool } = job;
        logger.event('stageOwnerLost', { requestId, stage, pool, peer: owner.hostId });
      }
    }
    return OWNER_LOST;
  }

  release(region: string, pool: string, results: readonly string[]): void {
    this.notifyOwner(region, { pool, results });
  }

  markEvictable(region: string, pool: string, results: readonly string[]): void {
    this.notifyOwner(region, { pool, results, spare: true });
  }

  private notifyOwner(region: string, released: ReleasedResults): void {
    if (released.results.length === 0) {
      return;
    }
    const { hosts, links, local } = this.options;
    const [owner = hosts.self] = hosts.rankOwners(released.pool, region);
    if (owner.hostId === hosts.self.hostId) {
      local.release(released);
    } else {
      links.notify(owner.target, RELEASE_RESULTS, released);
    }
  }

  private async callOwner(owner: HostEntry, job: StageJob, signal: AbortSignal): Promise<StageJobResult> {
    const { hosts, links, local } = this.options;
    const { pool, jobId } = job;
    const isLocal = owner.hostId === hosts.self.hostId;
    const cancel = (): void => {
      if (isLocal) {
        local.cancel(pool, jobId);
      } else {
        links.notify(owner.target, CANCEL_STAGE, { pool, jobId });
      }
    };
    signal.addEventListener('abort', cancel, { once: true });
    try {
      return isLocal ? await local.run(job) : readJobResult(await links.call(owner.target, RUN_STAGE, job), job);
    } finally {
      signal.removeEventListener('abort', cancel);
    }
  }
}

/**
 * Creates the client of the batch owners.
 *
 * @param options - host registry, links to other hosts, and the batch owners of this host
 * @returns the client
 */
export default function createStageClient(options: StageClientOptions): StageClient {
  return new Client(options);
}
