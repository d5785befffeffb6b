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
import withLimit from './_lib/withLimit.js';
import createClaimLogs, { type ClaimLogs } from './createClaimLogs.js';
import createOpenClaims, { type OpenClaims } from './createOpenClaims.js';
import createOutcomeWait from './createOutcomeWait.js';
import registerClaimMethods from './registerClaimMethods.js';
import type { ClaimBook, ClaimLookup, ClaimRequest, ClaimWait } from './types.js';

/** Options of {@link createClaimBook}. */
export interface ClaimBookOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly peers: PeerClient;
  readonly peerServer: PeerServer;
  readonly directory: PeerDirectory;
  readonly hostId: string;
  readonly limits?: ShardLimits;
}

interface KnownAnswer {
  readonly bodyHash: string;
  readonly outcome: RecordedOutcome;
}

const RETRY_AFTER_MS = 1_000;
/** Longest time that an answer waits for its outcome to be durable. */
const RECORD_LIMIT_MS = 500;
/** A refusal mostly comes at the deadline and is not held back; its record goes on in the background. */
const REFUSAL_RECORD_LIMIT_MS = 100;
/** Longest time that a request waits for a look at the log before its repeatable stages start. */
const LOOK_UP_LIMIT_MS = 250;
/** Longest wait for a claim when the servers check keys themselves; the request then goes on without it. */
const OPTIONAL_CLAIM_LIMIT_MS = 250;
const MAX_KNOWN_ANSWERS = 20_000;
const MAX_KNOWN_BYTES = 16_777_216;
const RECORD_OVERHEAD_BYTES = 200;

const measureOutcome = ({ outcome }: KnownAnswer): number =>
  RECORD_OVERHEAD_BYTES + (outcome.type === 'answered' ? outcome.answer.length : 0);

const readRecord = (request: ClaimRequest, record: ClaimRecord): ClaimLookup => {
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

class LogClaimBook implements ClaimBook {
  private readonly answers = new LRUCache<string, KnownAnswer>({
    max: MAX_KNOWN_ANSWERS,
    maxSize: MAX_KNOWN_BYTES,
    sizeCalculation: measureOutcome,
  });

  constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly processId: string;
      readonly logs: ClaimLogs;
      readonly open: OpenClaims;
      readonly wait: (request: ClaimRequest) => Promise<ClaimWait>;
    },
  ) {}

  async lookUp(request: ClaimRequest): Promise<ClaimLookup> {
    const keyHash = hashKey(request);
    const known = this.answers.get(keyHash);
    if (known !== undefined) {
      return known.bodyHash === hashBody(request)
        ? { type: 'finished', result: toResult(known.outcome) }
        : { type: 'other-body' };
    }
    const limitMs = Math.min(LOOK_UP_LIMIT_MS, this.remaining(request));
    const view = await this.options.logs.read(keyHash, { refresh: false, limitMs });
    switch (view.type) {
      case 'free':
        return { type: 'free' };
      case 'record':
        return readRecord(request, view.record);
      default:
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    }
  }

  awaitOutcome(request: ClaimRequest): Promise<ClaimWait> {
    return this.options.wait(request);
  }

  async claim(request: ClaimRequest, onContended: () => void = () => undefined): Promise<ClaimDecision> {
    const { clock, processId, open, logs } = this.options;
    open.start(request.requestId);
    const remainingMs = this.remaining(request);
    const limitMs = request.serversCheckKeys ? Math.min(OPTIONAL_CLAIM_LIMIT_MS, remainingMs) : remainingMs;
    const op = formatClaim(request, { processId, wallMs: clock.wallMs() });
    const result = await logs.submit(op, Math.max(0, limitMs));
    switch (result.type) {
      case 'done':
        return { type: 'granted' };
      case 'taken':
        // A claim that was released, here or by a peer, cannot be granted any more.
        return result.record.claimId === request.requestId
          ? { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS }
          : this.yieldKey(request, onContended);
      default:
        return this.giveUp(request, result);
    }
  }

  async record(request: ClaimRequest, result: RequestResult): Promise<void> {
    const { clock, open } = this.options;
    if (!open.isOpen(request.requestId)) {
      return;
    }
    const keyHash = hashKey(request);
    const outcome = toRecordedOutcome(result);
    if (outcome !== undefined && !isUnknown(outcome)) {
      this.answers.set(keyHash, { bodyHash: hashBody(request), outcome });
    }
    const op =
      outcome === undefined
        ? this.formatOwnRelease(request)
        : formatOutcome(keyHash, request.requestId, outcome, clock.wallMs());
    const limitMs = result.type === 'answered' ? RECORD_LIMIT_MS : REFUSAL_RECORD_LIMIT_MS;
    await withLimit(clock, limitMs, open.settle(request.requestId, outcome, op));
  }

  async flush(limitMs: number): Promise<number> {
    const { clock, open, logs } = this.options;
    const endsAtMs = clock.monotonicMs() + limitMs;
    while (open.unsettled().length > 0 && clock.monotonicMs() < endsAtMs - limitMs / 2) {
      // Polls while the store still may take the outcomes.
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        clock.schedule(Math.min(20, Math.max(1, limitMs / 10)), resolve);
      });
    }
    const handOvers = Promise.all(open.unsettled().map((op) => logs.handOver(op)));
    const accepted = await withLimit(clock, endsAtMs - clock.monotonicMs(), handOvers);
    return accepted === undefined ? open.unsettled().length : accepted.filter((done) => !done).length;
  }

  close(): void {
    this.options.logs.close();
    this.options.open.close();
  }

  /** The key belongs to another request: waits for its outcome, and claims again if it did not run. */
  private async yieldKey(request: ClaimRequest, onContended: () => void): Promise<ClaimDecision> {
    onContended();
    this.options.open.drop(request.requestId);
    const waited = await this.options.wait(request);
    switch (waited.type) {
      case 'settled':
        return { type: 'settled', result: waited.result };
      case 'free':
        return this.remaining(request) > 0
          ? this.claim(request, onContended)
          : { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
      default:
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    }
  }

  /** Fences a claim that may still become durable although its request no longer waits for it. */
  private giveUp(request: ClaimRequest, result: ClaimOpResult): ClaimDecision {
    const { open } = this.options;
    const mayApply = result.type === 'unavailable' && result.mayApply;
    if (!request.serversCheckKeys && mayApply) {
      open.settle(request.requestId, undefined, this.formatOwnRelease(request)).catch(() => undefined);
    } else if (!mayApply) {
      open.drop(request.requestId);
    }
    return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
  }

  private formatOwnRelease(request: ClaimRequest) {
    const { clock, processId } = this.options;
    const claim = { bodyHash: hashBody(request), claimId: request.requestId, hostId: processId };
    return formatRelease(hashKey(request), claim, clock.wallMs());
  }

  private remaining(request: ClaimRequest): number {
    return request.deadlineAtMs - this.options.clock.monotonicMs();
  }
}

/**
 * Creates the claim book of an entry host on the shard logs, and registers the peer methods that belong to it.
 *
 * @param options - store, peers and identity of this host
 * @returns the claim book
 */
export default function createClaimBook(options: ClaimBookOptions): ClaimBook {
  const { clock, hostId, directory, peers } = options;
  // A restarted host has forgotten its claims and must not be taken for the process that made them.
  const processId = `${hostId}/${randomUUID().slice(0, 8)}`;
  const logs = createClaimLogs({ ...options, processId });
  const open = createOpenClaims(clock, logs);
  registerClaimMethods(options.peerServer, logs, open);
  const wait = createOutcomeWait({ clock, logs, open, peers, directory, processId });
  return new LogClaimBook({ clock, processId, logs, open, wait });
}
