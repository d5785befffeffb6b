import type { ServerDescription } from '@bergamotcove/decide';
import type { Logger } from '@bergamotcove/log';
import type { ScrapedMetrics } from '@bergamotcove/telemetry';
import type CallerExchange from '../callers/CallerExchange.js';
import type { Refusal } from '../callers/CallerExchange.js';
import type { StagesOutcome } from '../stages/runStages.js';
import isRepeatable from './isRepeatable.js';
import type RunRecord from './RunRecord.js';
import type { ForwardEnd } from './RunRecord.js';
import type { ForwardRequest, WholeAnswer } from './types.js';

/** The request that is answered, with its state. */
export interface OpenRun {
  readonly request: ForwardRequest;
  readonly exchange: CallerExchange;
  readonly record: RunRecord;
}

/** Dependencies of {@link RunAnswer}. */
export interface AnswerPorts {
  readonly logger: Logger;
  readonly metrics: ScrapedMetrics;
}

/** Statuses by which a caller knows that a request that may run once has not run and will not run. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Promises that the request has not run. Nothing but {@link RunAnswer.refuse} writes it once a request is forwarded. */
const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

const TIMEOUT_REASONS: ReadonlySet<Refusal['reason']> = new Set(['timed-out', 'stopping']);

/** Refusal reasons by the reason of a stage failure. Others mean servers without capacity: `overloaded`. */
const REFUSAL_REASONS: Readonly<Partial<Record<string, Refusal['reason']>>> = {
  late: 'deadline-passed',
  overtaken: 'overtaken',
  poisoned: 'poisoned',
};

/** Ends one request: makes sure that the caller gets exactly one answer. */
export default class RunAnswer {
  ended = false;

  private readonly exchange: CallerExchange;

  private readonly record: RunRecord;

  constructor(
    private readonly run: OpenRun,
    private readonly ports: AnswerPorts,
    /** Called once, when the request has ended. */
    private readonly onEnded: () => void,
  ) {
    this.exchange = run.exchange;
    this.record = run.record;
  }

  /**
   * Sends a complete answer of a server to the caller. One that promises that the request has not run, while the server
   * did not state so, is replaced by a failure.
   */
  deliver(server: ServerDescription, { head, body }: WholeAnswer): void {
    if (this.exchange.headSent) {
      this.exchange.abort();
      this.end('failed', head.status, 'stream-broken');
      return;
    }
    if (PROMISE_STATUSES.has(head.status) && !isRepeatable(this.run.request.route)) {
      this.reportUnproved(server, head.status);
      this.refuse('refusal-unproved', 0);
      return;
    }
    this.exchange.sendHead(head);
    this.exchange.finish(body);
    this.end('answered', head.status, 'answered');
  }

  /** Ends a request whose stages failed. */
  failStages({ reason, retryAfterMs }: Extract<StagesOutcome, { type: 'failed' }>): void {
    this.refuse(REFUSAL_REASONS[reason] ?? 'overloaded', retryAfterMs);
  }

  /**
   * Ends a request that gets no answer of a server: with status 503 when no server can have run it, and none will, or
   * with 502 or 504.
   */
  refuse(reason: Refusal['reason'], retryAfterMs: number): void {
    if (this.ended) {
      return;
    }
    const { headSent } = this.exchange;
    const failure = TIMEOUT_REASONS.has(reason) ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    const status = this.record.mayHaveRun ? failure : UNAVAILABLE;
    this.exchange.refuse({ status, reason, ...(status === UNAVAILABLE ? { retryAfterMs } : {}) });
    this.end(headSent || status !== UNAVAILABLE ? 'failed' : 'refused', status, reason);
  }

  end(outcome: ForwardEnd['outcome'], status: number, reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.record.noteEnd(outcome, status, reason);
      this.onEnded();
    }
  }

  private reportUnproved({ serverId, pool }: ServerDescription, status: number): void {
    const { logger, metrics } = this.ports;
    metrics.report('pool.refusals_unproved', 1, { pool, status: String(status) });
    logger.event('refusalUnproved', { requestId: this.run.request.requestId, serverId, status });
  }
}
