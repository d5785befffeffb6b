import { LRUCache } from 'lru-cache';
import type { Clock } from '@bergamotcove/clock';
import { isSameBody } from '@bergamotcove/decide';
import { CLAIMS_QUERY, claimsAnswerSchema, type ClaimRecord, type ClaimsAnswer } from '@bergamotcove/protocol';
import type { PeerClient } from '@bergamotcove/transport';
import type { PeerDirectory } from '../peers/types.js';
import { formatOutcome, formatRelease, hashBody, hashKey } from './_lib/formatOps.js';
import { isUnknown, toResult } from './_lib/outcomes.js';
import type { ClaimLogs } from './createClaimLogs.js';
import type { OpenClaims } from './createOpenClaims.js';
import type { ClaimRequest, ClaimWait } from './types.js';

/** Options of {@link createOutcomeWait}. */
export interface OutcomeWaitOptions {
  readonly clock: Clock;
  readonly logs: ClaimLogs;
  readonly openClaims: OpenClaims;
  readonly peers: PeerClient;
  readonly directory: PeerDirectory;
  readonly processId: string;
}

/** Result of a query to the claiming process. */
type ClaimantAnswer = ClaimsAnswer | { readonly type: 'unreachable' } | { readonly type: 'gone' };

const CLAIMANT_QUERY_MS = 500;
const REPLY_MARGIN_MS = 100;
const POLL_INTERVAL_MS = 100;
/** Part of the remaining time that is reserved for a status query; the query itself takes at most 300 ms. */
const STATUS_RESERVE_MS = 450;
const RELEASE_LIMIT_MS = 500;
const RETRY_AFTER_MS = 1_000;
const MAX_SEEN_CLAIMS = 50_000;
/**
 * Time that the outcome of an unreachable host may take to reach the log: that host waits up to a second for each of
 * two shard owners before it appends directly.
 */
const UNREACHABLE_GRACE_MS = 2_000;
/** Time for a call that was sent just before its deadline to reach its server. */
const ARRIVAL_MARGIN_MS = 2_000;

const createUnknownResult = (retryAfterMs?: number): ClaimWait => ({
  type: 'settled',
  result: {
    type: 'refused',
    outcome: 'unknown',
    reason: 'outcome-unknown',
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  },
});

const createRanResult = (): ClaimWait => ({
  type: 'settled',
  result: { type: 'refused', outcome: 'ran', reason: 'answer-dropped' },
});

/** Host part of a process id. */
const readHostId = (processId: string): string => processId.slice(0, processId.lastIndexOf('/'));

/**
 * How the wait continues after a record was inspected; `read-around` skips the claiming host in the next read,
 * because that host may own the shard too.
 */
type NextStep = 'pause' | 'again' | 'refresh' | 'read-around';

class OutcomeWait {
  /** Monotonic time at which this process first saw each claim. */
  private readonly seenAtMs = new LRUCache<string, number>({ max: MAX_SEEN_CLAIMS });

  constructor(private readonly options: OutcomeWaitOptions) {}

  async wait(request: ClaimRequest): Promise<ClaimWait> {
    const keyHash = hashKey(request);
    let refresh = false;
    let unresponsiveHostId: string | undefined;
    for (let limitMs = this.remainingMs(request); limitMs > 0; limitMs = this.remainingMs(request)) {
      // Each read depends on the result of the one before.
      // eslint-disable-next-line no-await-in-loop
      const view = await this.options.logs.read(keyHash, { refresh, limitMs, unresponsiveHostId });
      if (view.type === 'free') {
        return { type: 'free' };
      }
      const next: ClaimWait | NextStep =
        // eslint-disable-next-line no-await-in-loop
        view.type === 'record' ? await this.inspectRecord(request, view.record, refresh) : 'pause';
      if (typeof next !== 'string') {
        return next;
      }
      // Unless the claimant itself reported that the call is running, only the store can show the outcome.
      refresh = next !== 'again';
      unresponsiveHostId =
        next === 'read-around' && view.type === 'record' ? readHostId(view.record.hostId) : undefined;
      if (next === 'pause' || next === 'read-around') {
        // eslint-disable-next-line no-await-in-loop
        await this.pause(Math.min(POLL_INTERVAL_MS, this.remainingMs(request)));
      }
    }
    return createUnknownResult(RETRY_AFTER_MS);
  }

  /** Inspects a record once. Returns the end of the wait, or how to continue. */
  private async inspectRecord(
    request: ClaimRequest,
    record: ClaimRecord,
    fresh: boolean,
  ): Promise<ClaimWait | NextStep> {
    if (!this.seenAtMs.has(record.claimId)) {
      this.seenAtMs.set(record.claimId, this.options.clock.monotonicMs());
    }
    if (!isSameBody(record, hashBody(request))) {
      return { type: 'settled', result: { type: 'refused', outcome: 'not-run', reason: 'key-reused' } };
    }
    if (record.status.type === 'released') {
      return { type: 'free' };
    }
    if (record.status.type === 'finished') {
      const { outcome } = record.status;
      return isUnknown(outcome)
        ? this.settleUnresolved(request, record, 'gone')
        : { type: 'settled', result: toResult(outcome) };
    }
    return this.inspectOpenClaim(request, record, fresh);
  }

  private async inspectOpenClaim(
    request: ClaimRequest,
    record: ClaimRecord,
    fresh: boolean,
  ): Promise<ClaimWait | NextStep> {
    const reserveMs = request.queryStatus === undefined ? 0 : STATUS_RESERVE_MS;
    const limitMs = this.remainingMs(request) - reserveMs;
    if (limitMs <= 0) {
      // The claiming host may still record its answer, so nothing is recorded here on its behalf.
      return (await request.queryStatus?.()) === true ? createRanResult() : createUnknownResult(RETRY_AFTER_MS);
    }
    const answer = await this.askClaimant(hashKey(request), record, limitMs);
    switch (answer.type) {
      case 'outcome':
        return isUnknown(answer.outcome)
          ? this.settleUnresolved(request, record, 'gone')
          : { type: 'settled', result: toResult(answer.outcome) };
      case 'never-sent':
        return this.release(hashKey(request), record);
      case 'running':
        return 'again';
      case 'gone':
      case 'absent':
        // The outcome may have become durable just before its host stopped.
        return fresh ? this.settleUnresolved(request, record, 'gone') : 'refresh';
      case 'unreachable':
        return fresh ? this.settleUnresolved(request, record, 'unreachable') : 'read-around';
      default:
        return 'pause';
    }
  }

  /** Records that the call ran; a later answer of the claiming host replaces this record. */
  private recordAsRan(request: ClaimRequest, record: ClaimRecord): ClaimWait {
    const outcome = { type: 'refused' as const, outcome: 'ran' as const, reason: 'answer-dropped' };
    const { openClaims, clock } = this.options;
    openClaims.persistInBackground(formatOutcome(hashKey(request), record.claimId, outcome, clock.wallMs()));
    return createRanResult();
  }

  private async askClaimant(keyHash: string, record: ClaimRecord, limitMs: number): Promise<ClaimantAnswer> {
    const { openClaims, directory, peers, processId } = this.options;
    const waitMs = Math.max(1, Math.min(CLAIMANT_QUERY_MS, limitMs));
    if (record.hostId === processId) {
      return openClaims.awaitAnswer(record.claimId, waitMs);
    }
    const host = directory.liveHosts().find((candidate) => candidate.hostId === readHostId(record.hostId));
    if (host === undefined || host.hostId === readHostId(processId)) {
      return { type: 'gone' };
    }
    const about = { type: 'claimant', claimId: record.claimId };
    try {
      const target = { address: host.address, port: host.peersPort };
      const timeoutMs = Math.ceil(Math.min(waitMs + REPLY_MARGIN_MS, limitMs));
      return claimsAnswerSchema.parse(
        await peers.call(target, CLAIMS_QUERY, { keyHash, about, waitMs }, { timeoutMs }),
      );
    } catch {
      return { type: 'unreachable' };
    }
  }

  private async release(keyHash: string, record: ClaimRecord): Promise<ClaimWait | 'pause'> {
    const op = formatRelease(keyHash, record, this.options.clock.wallMs());
    const result = await this.options.logs.submit(op, RELEASE_LIMIT_MS);
    return result.type === 'done' ? { type: 'free' } : 'pause';
  }

  /**
   * Settles a claim whose outcome is unknown. Only a status query gives more information. That the call ran can
   * be concluded at any time; that it did not run, only once the claiming host can no longer send it. Membership takes
   * seconds to declare a crashed host dead. While the host is only unreachable, its outcome may still arrive or it may
   * still send the call, so the wait continues.
   */
  private async settleUnresolved(
    request: ClaimRequest,
    record: ClaimRecord,
    claimant: 'gone' | 'unreachable',
  ): Promise<ClaimWait | 'pause' | 'read-around'> {
    const seenForMs = this.options.clock.monotonicMs() - (this.seenAtMs.get(record.claimId) ?? Infinity);
    if (claimant === 'unreachable' && seenForMs < UNREACHABLE_GRACE_MS) {
      return 'read-around';
    }
    const executed = await request.queryStatus?.();
    if (executed === true) {
      return this.recordAsRan(request, record);
    }
    if (claimant === 'unreachable') {
      return 'read-around';
    }
    if (request.queryStatus === undefined && !request.serversCheckKeys) {
      return createUnknownResult();
    }
    if (request.serversCheckKeys) {
      return { type: 'server-decides' };
    }
    const waitMs = request.maxDurationMs + ARRIVAL_MARGIN_MS - seenForMs;
    if (executed === undefined || waitMs > 0) {
      return createUnknownResult(
        executed === undefined ? RETRY_AFTER_MS : Math.min(Math.ceil(waitMs), request.maxDurationMs),
      );
    }
    return this.release(hashKey(request), record);
  }

  private remainingMs(request: ClaimRequest): number {
    return request.deadlineAtMs - this.options.clock.monotonicMs();
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.schedule(delayMs, resolve);
    });
  }
}

/**
 * Creates the function that waits for the outcome of another request with the same key.
 *
 * @param options - logs, claims of this process and peers
 * @returns a function that waits within the deadline of the request
 */
export default function createOutcomeWait(options: OutcomeWaitOptions): (request: ClaimRequest) => Promise<ClaimWait> {
  const wait = new OutcomeWait(options);
  return (request) => wait.wait(request);
}
