import type CallerExchange from '../callers/CallerExchange.js';
import type { Refusal } from '../callers/CallerExchange.js';
import type { StagesOutcome } from '../stages/runStages.js';
import type RunRecord from './RunRecord.js';
import type { ForwardEnd } from './RunRecord.js';
import type { WholeAnswer } from './types.js';

/** Reasons for failures of stages that do not come from servers without room. */
const REFUSAL_REASONS: Readonly<Partial<Record<string, Refusal['reason']>>> = {
  late: 'deadline-passed',
  overtaken: 'overtaken',
  poisoned: 'poisoned',
};

/** The end of one request: its caller gets one answer, and nothing goes on after it. */
export default class RunAnswer {
  ended = false;

  constructor(
    private readonly exchange: CallerExchange,
    private readonly record: RunRecord,
    /** Called when the request has ended. */
    private readonly onEnded: () => void,
  ) {}

  /** Passes a whole answer of a server on. */
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

  /** Ends a request that got no answer of a server; a request that may have run is not refused. */
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
