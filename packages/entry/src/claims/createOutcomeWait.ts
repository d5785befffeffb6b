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
  readonly open: OpenClaims;
  readonly peers: PeerClient;
  readonly directory: PeerDirectory;
  readonly processId: string;
}

/** What asking the claiming process gave. */
type ClaimantAnswer = ClaimsAnswer | { readonly type: 'unreachable' } | { readonly type: 'gone' };

const ASK_MS = 500;
const REPLY_MARGIN_MS = 100;
const PAUSE_MS = 100;
/** Part of the deadline that is kept for a status query; the query itself takes at most 300 ms. */
const STATUS_RESERVE_MS = 450;
const RELEASE_LIMIT_MS = 500;
const RETRY_AFTER_MS = 1_000;
const MAX_SEEN_CLAIMS = 50_000;
/**
 * Time that the outcome of an unreachable host may take to reach the log: it waits for two shard owners, a second
 * each, before it appends by itself.
 */
const UNREACHABLE_MS = 2_000;
/** Time for a call that was sent just before its deadline to arrive at its server. */
const ARRIVAL_MARGIN_MS = 2_000;

const settleUnknown = (retryAfterMs?: number): ClaimWait => ({
  type: 'settled',
  result: {
    type: 'refused',
    outcome: 'unknown',
    reason: 'outcome-unknown',
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  },
});

const settleRan = (): ClaimWait => ({
  type: 'settled',
  result: { type: 'refused', outcome: 'ran', reason: 'answer-dropped' },
});

/** Host part of a process id. */
const readHostId = (processId: string): string => processId.slice(0, processId.lastIndexOf('/'));

/** How the wait goes on after one look. */
type Next = 'pause' | 'again' | 'refresh' | 'read-around';

class OutcomeWait {
  /** When this process first saw a claim, on its own monotonic clock. */
  private readonly seenAtMs = new LRUCache<string, number>({ max: MAX_SEEN_CLAIMS });

  constructor(private readonly options: OutcomeWaitOptions) {}

  async wait(request: ClaimRequest): Promise<ClaimWait> {
    const keyHash = hashKey(request);
    let refresh = false;
    let silentHostId: string | undefined;
    for (let limitMs = this.remaining(request); limitMs > 0; limitMs = this.remaining(request)) {
      // Each look depends on the one before.
      // eslint-disable-next-line no-await-in-loop
      const view = await this.options.logs.read(keyHash, { refresh, limitMs, silentHostId });
      if (view.type === 'free') {
        return { type: 'free' };
      }
      // eslint-disable-next-line no-await-in-loop
      const next: ClaimWait | Next = view.type === 'record' ? await this.look(request, view.record, refresh) : 'pause';
      if (typeof next !== 'string') {
        return next;
      }
      // While the claimant cannot be reached, only the store can show its outcome.
      refresh = next !== 'again';
      silentHostId = next === 'read-around' && view.type === 'record' ? readHostId(view.record.hostId) : undefined;
      if (next === 'pause' || next === 'read-around') {
        // eslint-disable-next-line no-await-in-loop
        await this.pause(Math.min(PAUSE_MS, this.remaining(request)));
      }
    }
    return settleUnknown(RETRY_AFTER_MS);
  }

  /** Looks once at a record: the end of the wait, or how to go on. */
  private async look(request: ClaimRequest, record: ClaimRecord, fresh: boolean): Promise<ClaimWait | Next> {
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
      return isUnknown(outcome) ? this.settle(request, record, 'gone') : { type: 'settled', result: toResult(outcome) };
    }
    return this.lookAtOpen(request, record, fresh);
  }

  private async lookAtOpen(request: ClaimRequest, record: ClaimRecord, fresh: boolean): Promise<ClaimWait | Next> {
    const reserveMs = request.queryStatus === undefined ? 0 : STATUS_RESERVE_MS;
    const limitMs = this.remaining(request) - reserveMs;
    if (limitMs <= 0) {
      // The claiming host may still record its answer; nothing is recorded for it here.
      return (await request.queryStatus?.()) === true ? settleRan() : settleUnknown(RETRY_AFTER_MS);
    }
    const answer = await this.askClaimant(hashKey(request), record, limitMs);
    switch (answer.type) {
      case 'outcome':
        return isUnknown(answer.outcome)
          ? this.settle(request, record, 'gone')
          : { type: 'settled', result: toResult(answer.outcome) };
      case 'never-sent':
        return this.release(hashKey(request), record);
      case 'running':
        return 'again';
      case 'gone':
      case 'absent':
        // The outcome may have become durable just before its host went away.
        return fresh ? this.settle(request, record, 'gone') : 'refresh';
      case 'unreachable':
        return fresh ? this.settle(request, record, 'unreachable') : 'read-around';
      default:
        return 'pause';
    }
  }

  /** Records that the call ran; an answer of the claiming host that comes later replaces this record. */
  private settleRecorded(request: ClaimRequest, record: ClaimRecord): ClaimWait {
    const outcome = { type: 'refused' as const, outcome: 'ran' as const, reason: 'answer-dropped' };
    const { open, clock } = this.options;
    open.adopt(formatOutcome(hashKey(request), record.claimId, outcome, clock.wallMs()));
    return settleRan();
  }

  private async askClaimant(keyHash: string, record: ClaimRecord, limitMs: number): Promise<ClaimantAnswer> {
    const { open, directory, peers, processId } = this.options;
    const waitMs = Math.max(1, Math.min(ASK_MS, limitMs));
    if (record.hostId === processId) {
      return open.ask(record.claimId, waitMs);
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
   * Settles a claim whose outcome nobody knows. Only a status query can tell more: that the call ran at any time, that
   * it did not run only after the claiming host can no longer send it. Membership needs seconds to declare a crashed
   * host dead; while the host is only unreachable, its outcome may come, or it may still be about to send the call, and
   * the wait goes on.
   */
  private async settle(
    request: ClaimRequest,
    record: ClaimRecord,
    claimant: 'gone' | 'unreachable',
  ): Promise<ClaimWait | 'pause' | 'read-around'> {
    const seenForMs = this.options.clock.monotonicMs() - (this.seenAtMs.get(record.claimId) ?? Infinity);
    if (claimant === 'unreachable' && seenForMs < UNREACHABLE_MS) {
      return 'read-around';
    }
    const executed = await request.queryStatus?.();
    if (executed === true) {
      return this.settleRecorded(request, record);
    }
    if (claimant === 'unreachable') {
      return 'read-around';
    }
    if (request.queryStatus === undefined && !request.serversCheckKeys) {
      return settleUnknown();
    }
    if (request.serversCheckKeys) {
      return { type: 'server-decides' };
    }
    const waitMs = request.longestMs + ARRIVAL_MARGIN_MS - seenForMs;
    if (executed === undefined || waitMs > 0) {
      return settleUnknown(executed === undefined ? RETRY_AFTER_MS : Math.min(Math.ceil(waitMs), request.longestMs));
    }
    return this.release(hashKey(request), record);
  }

  private remaining(request: ClaimRequest): number {
    return request.deadlineAtMs - this.options.clock.monotonicMs();
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.schedule(delayMs, resolve);
    });
  }
}

/**
 * Creates the wait for the outcome of another request under the same key.
 *
 * @param options - logs, own claims and peers
 * @returns a function that waits within the deadline of the request
 */
export default function createOutcomeWait(options: OutcomeWaitOptions): (request: ClaimRequest) => Promise<ClaimWait> {
  const wait = new OutcomeWait(options);
  return (request) => wait.wait(request);
}
