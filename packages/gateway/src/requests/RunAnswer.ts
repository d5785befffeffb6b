import type CallerExchange from '../callers/CallerExchange.js';
import type { Refusal } from '../callers/CallerExchange.js';
import type { StagesOutcome } from '../stages/runStages.js';
import type RunRecord from './RunRecord.js';
import type { ForwardEnd } from './RunRecord.js';
import type { WholeAnswer } from './types.js';

/** Refusal reasons by the reason of a stage failure. Others mean servers without capacity: `overloaded`. */
const REFUSAL_REASONS: Readonly<Partial<Record<string, Refusal['reason']>>> = {
  late: 'deadline-passed',
  overtaken: 'overtaken',
  poisoned: 'poisoned',
};

/** Ends one request: makes sure that the caller gets exactly one answer. */
export default class RunAnswer {
  ended = false;

  constructor(
    private readonly exchange: CallerExchange,
    private readonly record: RunRecord,
    /** Called once, when the request has ended. */
    private readonly onEnded: () => void,
  ) {}

  /** Sends a complete answer of a server to the caller. */
  deliver({ head, body }: WholeAnswer): void {
    if (this.exchange.headSent) {
      this.exchange.abort();
      this.end('failed', head.status, 'stream-broken');
      return;
    }
    this.exchange.sendHead(head);
    this.exchange.finish(body);
    this.end('answered', head.status, 'answered');
  }

  /** Ends a request that got no answer from a server: status 502 when it may have run, otherwise 503. */
  fail(reason: Refusal['reason'], retryAfterMs: number): void {
    this.refuse(this.record.runs > 0 ? 502 : 503, reason, retryAfterMs);
  }

  /** Ends a request whose stages failed. */
  failStages({ reason, retryAfterMs }: Extract<StagesOutcome, { type: 'failed' }>): void {
    this.fail(REFUSAL_REASONS[reason] ?? 'overloaded', retryAfterMs);
  }

  refuse(status: number, reason: Refusal['reason'], retryAfterMs: number): void {
    if (this.ended) {
      return;
    }
    const { headSent } = this.exchange;
    this.exchange.refuse({ status, reason, ...(status === 503 ? { retryAfterMs } : {}) });
    this.end(headSent || status !== 503 ? 'failed' : 'refused', status, reason);
  }

  end(outcome: ForwardEnd['outcome'], status: number, reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.record.noteEnd(outcome, status, reason);
      this.onEnded();
    }
  }
}
