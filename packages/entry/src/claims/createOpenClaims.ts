import type { Clock, Timer } from '@bergamotcove/clock';
import type { ClaimOp, ClaimsAnswer, RecordedOutcome } from '@bergamotcove/protocol';
import withTimeout from './_lib/withTimeout.js';
import type { ClaimLogs } from './createClaimLogs.js';

/** Claims of this process and their outcomes, kept in memory. */
export interface OpenClaims {
  /** Adds a claim whose outcome is not known yet. */
  start(claimId: string): void;
  /** Removes a claim that was not granted. */
  drop(claimId: string): void;
  isOpen(claimId: string): boolean;
  /** Settles a claim; without an outcome, its call was never sent. Resolves when the operation is durable. */
  settle(claimId: string, outcome: RecordedOutcome | undefined, op: ClaimOp): Promise<void>;
  /** Waits, at most `waitMs`, for the outcome of a claim of this process; used to answer peers. */
  awaitAnswer(claimId: string, waitMs: number): Promise<ClaimsAnswer>;
  /** Makes an operation durable in the background, for example one handed over by a host that stops. */
  persistInBackground(op: ClaimOp): void;
  /** Lists the operations that are not durable yet. */
  listUnsettled(): readonly ClaimOp[];
  /** Finds the outcome of a key that was accepted here but is not durable yet. */
  findUnsettled(keyHash: string): Extract<ClaimOp, { type: 'outcome' }> | undefined;
  close(): void;
}

interface OpenClaim {
  readonly answer: Promise<ClaimsAnswer>;
  readonly resolve: (answer: ClaimsAnswer) => void;
}

/** Time for which a durable outcome is still served from memory, for peers whose copy of the log is older. */
const DURABLE_CLAIM_RETENTION_MS = 60_000;

class ProcessClaims implements OpenClaims {
  private readonly claims = new Map<string, OpenClaim>();

  private readonly pending = new Set<ClaimOp>();

  private readonly timers = new Set<Timer>();

  private closed = false;

  constructor(
    private readonly clock: Clock,
    private readonly logs: ClaimLogs,
  ) {}

  start(claimId: string): void {
    if (this.claims.has(claimId)) {
      return;
    }
    let resolve: (answer: ClaimsAnswer) => void = () => undefined;
    const answer = new Promise<ClaimsAnswer>((resolveAnswer) => {
      resolve = resolveAnswer;
    });
    this.claims.set(claimId, { answer, resolve });
  }

  drop(claimId: string): void {
    this.claims.get(claimId)?.resolve({ type: 'never-sent' });
    this.claims.delete(claimId);
  }

  isOpen(claimId: string): boolean {
    return this.claims.has(claimId);
  }

  async settle(claimId: string, outcome: RecordedOutcome | undefined, op: ClaimOp): Promise<void> {
    this.claims.get(claimId)?.resolve(outcome === undefined ? { type: 'never-sent' } : { type: 'outcome', outcome });
    await this.persist(op);
    if (this.closed) {
      return;
    }
    const timer = this.clock.schedule(DURABLE_CLAIM_RETENTION_MS, () => {
      this.timers.delete(timer);
      this.claims.delete(claimId);
    });
    this.timers.add(timer);
  }

  async awaitAnswer(claimId: string, waitMs: number): Promise<ClaimsAnswer> {
    const claim = this.claims.get(claimId);
    if (claim === undefined) {
      return { type: 'absent' };
    }
    return (await withTimeout(this.clock, waitMs, claim.answer)) ?? { type: 'running' };
  }

  persistInBackground(op: ClaimOp): void {
    this.persist(op).catch(() => undefined);
  }

  listUnsettled(): readonly ClaimOp[] {
    return [...this.pending];
  }

  findUnsettled(keyHash: string): Extract<ClaimOp, { type: 'outcome' }> | undefined {
    return [...this.pending].find(
      (op): op is Extract<ClaimOp, { type: 'outcome' }> => op.type === 'outcome' && op.keyHash === keyHash,
    );
  }

  close(): void {
    this.closed = true;
    this.timers.forEach((timer) => timer.close());
  }

  private async persist(op: ClaimOp): Promise<void> {
    this.pending.add(op);
    await this.logs.persist(op);
    this.pending.delete(op);
  }
}

/**
 * Creates the in-memory table of this process's claims. Peers that wait for one of these claims query this table,
 * because it holds the outcome before the outcome is durable.
 *
 * @param clock - clock of the host
 * @param logs - shard logs
 * @returns the open claims
 */
export default function createOpenClaims(clock: Clock, logs: ClaimLogs): OpenClaims {
  return new ProcessClaims(clock, logs);
}
