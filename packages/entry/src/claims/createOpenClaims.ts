import type { Clock, Timer } from '@bergamotcove/clock';
import type { ClaimOp, ClaimsAnswer, RecordedOutcome } from '@bergamotcove/protocol';
import withLimit from './_lib/withLimit.js';
import type { ClaimLogs } from './createClaimLogs.js';

/** What this process knows about the claims that it made. */
export interface OpenClaims {
  start(claimId: string): void;
  /** Forgets a claim that was not granted. */
  drop(claimId: string): void;
  isOpen(claimId: string): boolean;
  /** Settles a claim: without an outcome its call never left. Resolves when the operation is durable. */
  settle(claimId: string, outcome: RecordedOutcome | undefined, op: ClaimOp): Promise<void>;
  /** Answers a peer that waits for a claim of this process. */
  ask(claimId: string, waitMs: number): Promise<ClaimsAnswer>;
  /** Accepts an operation of a host that stops. */
  adopt(op: ClaimOp): void;
  /** Operations that are not durable yet. */
  unsettled(): readonly ClaimOp[];
  /** Outcome that is accepted here, but not durable yet. */
  findUnsettled(keyHash: string): Extract<ClaimOp, { type: 'outcome' }> | undefined;
  close(): void;
}

interface OpenClaim {
  readonly known: Promise<ClaimsAnswer>;
  readonly resolve: (answer: ClaimsAnswer) => void;
}

/** Time that a durable outcome is still answered from memory, for peers whose view of the log is older. */
const KEPT_MS = 60_000;

class Claims implements OpenClaims {
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
    const known = new Promise<ClaimsAnswer>((resolveKnown) => {
      resolve = resolveKnown;
    });
    this.claims.set(claimId, { known, resolve });
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
    const timer = this.clock.schedule(KEPT_MS, () => {
      this.timers.delete(timer);
      this.claims.delete(claimId);
    });
    this.timers.add(timer);
  }

  async ask(claimId: string, waitMs: number): Promise<ClaimsAnswer> {
    const claim = this.claims.get(claimId);
    if (claim === undefined) {
      return { type: 'absent' };
    }
    return (await withLimit(this.clock, waitMs, claim.known)) ?? { type: 'running' };
  }

  adopt(op: ClaimOp): void {
    this.persist(op).catch(() => undefined);
  }

  unsettled(): readonly ClaimOp[] {
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
 * Creates the memory of this process's own claims. A peer that waits for one of them asks here, because the outcome
 * is known here before it is durable.
 *
 * @param clock - clock of the host
 * @param logs - shard logs
 * @returns the open claims
 */
export default function createOpenClaims(clock: Clock, logs: ClaimLogs): OpenClaims {
  return new Claims(clock, logs);
}
