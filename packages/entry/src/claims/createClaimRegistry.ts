import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { Clock } from '@bergamotcove/clock';
import { isSameBody, type ClaimDecision, type RequestResult, type ShardLimits } from '@bergamotcove/decide';
import type { StoreClient } from '@bergamotcove/backends';
import type { ClaimOpResult, ClaimRecord, RecordedOutcome } from '@bergamotcove/protocol';
import type { PeerClient, PeerServer } from '@bergamotcove/transport';
import type { PeerDirectory } from '../peers/types.js';
import { formatClaim, formatOutcome, formatRelease, hashBody, hashKey } from './_lib/formatOps.js';
import { isUnknown, toRecordedOutcome, toResult } from './_lib/outcomes.js';
import withTimeout from './_lib/withTimeout.js';
import createClaimLogs, { type ClaimLogs } from './createClaimLogs.js';
import createOpenClaims, { type OpenClaims } from './createOpenClaims.js';
import createOutcomeWait from './createOutcomeWait.js';
import registerClaimMethods from './registerClaimMethods.js';
import type { ClaimRegistry, ClaimLookup, ClaimRequest, ClaimWait } from './types.js';

/** Options of {@link createClaimRegistry}. */
export interface ClaimRegistryOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly peers: PeerClient;
  readonly peerServer: PeerServer;
  readonly directory: PeerDirectory;
  readonly hostId: string;
  readonly limits?: ShardLimits;
}

interface CachedOutcome {
  readonly bodyHash: string;
  readonly outcome: RecordedOutcome;
}

const RETRY_AFTER_MS = 1_000;
/** Maximum time for which an answer is held back until its outcome is durable. */
const RECORD_LIMIT_MS = 500;
/** Refusals mostly occur at the deadline, so they are held back only briefly; recording continues in the background. */
const REFUSAL_RECORD_LIMIT_MS = 100;
/** Maximum time for the lookup in the log before the repeatable stages of a request start. */
const LOOK_UP_LIMIT_MS = 250;
/** Maximum wait for a claim when the servers check keys themselves; after it, the request continues without one. */
const OPTIONAL_CLAIM_LIMIT_MS = 250;
const MAX_CACHED_OUTCOMES = 20_000;
const MAX_CACHED_BYTES = 16_777_216;
const RECORD_OVERHEAD_BYTES = 200;

const measureOutcomeBytes = ({ outcome }: CachedOutcome): number =>
  RECORD_OVERHEAD_BYTES + (outcome.type === 'answered' ? outcome.answer.length : 0);

const toLookup = (request: ClaimRequest, record: ClaimRecord): ClaimLookup => {
  if (!isSameBody(record, hashBody(request))) {
    return { type: 'other-body' };
  }
  if (record.status.type === 'released') {
    return { type: 'free' };
  }
  return record.status.type === 'finished' && !isUnknown(record.status.outcome)
    ? { type: 'finished', result: toResult(record.status.outcome) }
    : { type: 'claimed' };
};

class ShardLogClaimRegistry implements ClaimRegistry {
  private readonly outcomeCache = new LRUCache<string, CachedOutcome>({
    max: MAX_CACHED_OUTCOMES,
    maxSize: MAX_CACHED_BYTES,
    sizeCalculation: measureOutcomeBytes,
  });

  constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly processId: string;
      readonly logs: ClaimLogs;
      readonly openClaims: OpenClaims;
      readonly wait: (request: ClaimRequest) => Promise<ClaimWait>;
    },
  ) {}

  async lookUp(request: ClaimRequest): Promise<ClaimLookup> {
    const keyHash = hashKey(request);
    const cached = this.outcomeCache.get(keyHash);
    if (cached !== undefined) {
      return cached.bodyHash === hashBody(request)
        ? { type: 'finished', result: toResult(cached.outcome) }
        : { type: 'other-body' };
    }
    const limitMs = Math.min(LOOK_UP_LIMIT_MS, this.remainingMs(request));
    const view = await this.options.logs.read(keyHash, { refresh: false, limitMs });
    switch (view.type) {
      case 'free':
        return { type: 'free' };
      case 'record':
        return toLookup(request, view.record);
      default:
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    }
  }

  awaitOutcome(request: ClaimRequest): Promise<ClaimWait> {
    return this.options.wait(request);
  }

  async claim(request: ClaimRequest, onContended: () => void = () => undefined): Promise<ClaimDecision> {
    const { clock, processId, openClaims, logs } = this.options;
    openClaims.start(request.requestId);
    const remainingMs = this.remainingMs(request);
    const limitMs = request.serversCheckKeys ? Math.min(OPTIONAL_CLAIM_LIMIT_MS, remainingMs) : remainingMs;
    const op = formatClaim(request, { processId, wallMs: clock.wallMs() });
    const result = await logs.submit(op, Math.max(0, limitMs));
    switch (result.type) {
      case 'done':
        return { type: 'granted' };
      case 'taken':
        // The record holds this request's own claim: it was released, here or by a peer, and can no longer be granted.
        return result.record.claimId === request.requestId
          ? { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS }
          : this.awaitKeyHolder(request, onContended);
      default:
        return this.abandonClaim(request, result);
    }
  }

  async record(request: ClaimRequest, result: RequestResult): Promise<void> {
    const { clock, openClaims } = this.options;
    if (!openClaims.isOpen(request.requestId)) {
      return;
    }
    const keyHash = hashKey(request);
    const outcome = toRecordedOutcome(result);
    if (outcome !== undefined && !isUnknown(outcome)) {
      this.outcomeCache.set(keyHash, { bodyHash: hashBody(request), outcome });
    }
    const op =
      outcome === undefined
        ? this.formatOwnRelease(request)
        : formatOutcome(keyHash, request.requestId, outcome, clock.wallMs());
    const limitMs = result.type === 'answered' ? RECORD_LIMIT_MS : REFUSAL_RECORD_LIMIT_MS;
    await withTimeout(clock, limitMs, openClaims.settle(request.requestId, outcome, op));
  }

  async flush(limitMs: number): Promise<number> {
    const { clock, openClaims, logs } = this.options;
    const endsAtMs = clock.monotonicMs() + limitMs;
    while (openClaims.listUnsettled().length > 0 && clock.monotonicMs() < endsAtMs - limitMs / 2) {
      // Polls during the first half of the time, in which the store may still accept the outcomes.
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        clock.schedule(Math.min(20, Math.max(1, limitMs / 10)), resolve);
      });
    }
    const handOvers = Promise.all(openClaims.listUnsettled().map((op) => logs.handOver(op)));
    const accepted = await withTimeout(clock, endsAtMs - clock.monotonicMs(), handOvers);
    return accepted === undefined ? openClaims.listUnsettled().length : accepted.filter((done) => !done).length;
  }

  close(): void {
    this.options.logs.close();
    this.options.openClaims.close();
  }

  /** Waits for the outcome of the request that holds the key, and claims the key again if that request did not run. */
  private async awaitKeyHolder(request: ClaimRequest, onContended: () => void): Promise<ClaimDecision> {
    onContended();
    this.options.openClaims.drop(request.requestId);
    const waited = await this.options.wait(request);
    switch (waited.type) {
      case 'settled':
        return { type: 'settled', result: waited.result };
      case 'free':
        return this.remainingMs(request) > 0
          ? this.claim(request, onContended)
          : { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
      default:
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    }
  }

  /** Releases a claim that may still become durable although its request no longer waits for it. */
  private abandonClaim(request: ClaimRequest, result: ClaimOpResult): ClaimDecision {
    const { openClaims } = this.options;
    const mayApply = result.type === 'unavailable' && result.mayApply;
    if (!request.serversCheckKeys && mayApply) {
      openClaims.settle(request.requestId, undefined, this.formatOwnRelease(request)).catch(() => undefined);
    } else if (!mayApply) {
      openClaims.drop(request.requestId);
    }
    return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  private formatOwnRelease(request: ClaimRequest) {
    const { clock, processId } = this.options;
    const claim = { bodyHash: hashBody(request), claimId: request.requestId, hostId: processId };
    return formatRelease(hashKey(request), claim, clock.wallMs());
  }

  private remainingMs(request: ClaimRequest): number {
    return request.deadlineAtMs - this.options.clock.monotonicMs();
  }
}

/**
 * Creates the claim registry of an entry host on top of the shard logs, and registers its peer methods.
 *
 * @param options - store, peers and identity of this host
 * @returns the claim registry
 */
export default function createClaimRegistry(options: ClaimRegistryOptions): ClaimRegistry {
  const { clock, hostId, directory, peers } = options;
  // Unique per process: a restarted host has lost its claims in memory and must not be taken for the earlier process.
  const processId = `${hostId}/${randomUUID().slice(0, 8)}`;
  const logs = createClaimLogs({ ...options, processId });
  const openClaims = createOpenClaims(clock, logs);
  registerClaimMethods(options.peerServer, logs, openClaims);
  const wait = createOutcomeWait({ clock, logs, openClaims, peers, directory, processId });
  return new ShardLogClaimRegistry({ clock, processId, logs, openClaims, wait });
}
