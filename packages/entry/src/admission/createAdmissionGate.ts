import type { Clock, Timer } from '@bergamotcove/clock';
import type { OrganisationLimit, ServiceDocument } from '@bergamotcove/config';
import { createAdmission, shareLimit, type AdmissionRequest, type RequestPlan } from '@bergamotcove/decide';
import type { Estimates } from '../servers/createEstimates.js';
import type { PoolQueues } from '../servers/createPoolQueues.js';

/** Admission decision on a request; a refusal carries the time after which a retry may succeed. */
export type GateDecision =
  | { readonly type: 'admitted' }
  | { readonly type: 'refused'; readonly reason: 'over-limit' | 'deadline-passed'; readonly retryAfterMs: number };

/** Admission of requests on this host. */
export interface AdmissionGate {
  /** Resolves when the request is admitted or refused. */
  admit(plan: RequestPlan, document: ServiceDocument): Promise<GateDecision>;
  /** Number of requests that wait for admission. */
  waiting(): number;
  /** Whether requests wait so long that local servers cannot serve everything in time. */
  isOverloaded(): boolean;
  close(): void;
}

/** Options of {@link createAdmissionGate}. */
export interface AdmissionGateOptions {
  readonly clock: Clock;
  readonly estimates: Estimates;
  readonly queues: PoolQueues;
  /** Number of live entry hosts that this host knows; they share the limits. */
  readonly liveHosts: () => number;
}

/** Interval at which waiting requests are released; short, because a server may become free at any moment. */
const RELEASE_INTERVAL_MS = 10;
/** Interval at which waiting requests that would miss their deadline are refused. */
const EXPIRY_CHECK_MS = 100;
/** Number of short attempts waiting for a server at which this host releases no further requests. */
const MAX_WAITING_ATTEMPTS = 1;
/** Expected admission wait above which the servers of this region count as overloaded. */
const OVERLOAD_WAIT_MS = 300;
const RUN_QUANTILE = 0.95;
const TYPICAL_QUANTILE = 0.5;

interface WaitingRequest extends AdmissionRequest {
  readonly decide: (decision: GateDecision) => void;
}

const findLimit = (document: ServiceDocument, organisation: string): OrganisationLimit =>
  document.organisations.overrides[organisation] ?? document.organisations.default;

class Gate implements AdmissionGate {
  private readonly admission = createAdmission<WaitingRequest>();

  private timer: Timer | undefined;

  private lastExpiryAtMs = 0;

  private closed = false;

  constructor(private readonly options: AdmissionGateOptions) {}

  admit(plan: RequestPlan, document: ServiceDocument): Promise<GateDecision> {
    return new Promise((resolve) => {
      const { clock, liveHosts } = this.options;
      const limit = findLimit(document, plan.organisation);
      const item = this.createWaitingRequest(plan, limit, resolve);
      const decision = this.admission.offer(item, shareLimit(limit, liveHosts()), clock.monotonicMs());
      if (decision.type === 'refused') {
        resolve(decision);
      } else {
        this.releaseRequests();
      }
    });
  }

  waiting(): number {
    return this.admission.length;
  }

  isOverloaded(): boolean {
    return this.admission.waitMs(this.options.clock.monotonicMs()) > OVERLOAD_WAIT_MS;
  }

  close(): void {
    this.closed = true;
    this.timer?.close();
  }

  private createWaitingRequest(
    plan: RequestPlan,
    limit: OrganisationLimit,
    decide: WaitingRequest['decide'],
  ): WaitingRequest {
    const { estimates } = this.options;
    const generates = plan.stages.some((stage) => stage.kind === 'generate');
    return {
      requestId: plan.requestId,
      // Limits and weights are set per service, so an organisation has a separate share in each service.
      organisation: `${plan.service} ${plan.organisation}`,
      weight: limit.weight,
      priority: plan.operation.priority,
      costTokens: generates ? Math.max(1, estimates.outputTokens(plan)) : plan.stages.length,
      deadlineAtMs: plan.deadlineAtMs,
      runMs: estimates.runMs(plan, RUN_QUANTILE),
      typicalMs: estimates.runMs(plan, TYPICAL_QUANTILE),
      decide,
    };
  }

  private releaseRequests(): void {
    const nowMs = this.options.clock.monotonicMs();
    while (this.options.queues.countShortWaiting() < MAX_WAITING_ATTEMPTS) {
      const released = this.admission.release(nowMs);
      if (released === undefined) {
        break;
      }
      const { item, late } = released;
      item.decide(late ? this.buildLateRefusal(item, nowMs) : { type: 'admitted' });
    }
    if (nowMs - this.lastExpiryAtMs >= EXPIRY_CHECK_MS) {
      this.lastExpiryAtMs = nowMs;
      this.admission.expire(nowMs).forEach((item) => item.decide(this.buildLateRefusal(item, nowMs)));
    }
    this.scheduleRelease();
  }

  private buildLateRefusal(item: WaitingRequest, nowMs: number): GateDecision {
    const waitMs = this.admission.waitMs(nowMs) + nowMs + item.runMs - item.deadlineAtMs;
    return { type: 'refused', reason: 'deadline-passed', retryAfterMs: Math.ceil(Math.max(EXPIRY_CHECK_MS, waitMs)) };
  }

  private scheduleRelease(): void {
    if (this.admission.length > 0 && this.timer === undefined && !this.closed) {
      this.timer = this.options.clock.schedule(RELEASE_INTERVAL_MS, () => {
        this.timer = undefined;
        this.releaseRequests();
      });
    }
  }
}

/**
 * Creates the admission gate of this host. A request waits while its deadline allows it; otherwise it is refused at once
 * with the time after which a retry may succeed. Nothing has run for a refused request.
 *
 * @param options - clock, estimates, queues and number of hosts that share the limits
 * @returns the gate; close it to stop its timer
 */
export default function createAdmissionGate(options: AdmissionGateOptions): AdmissionGate {
  return new Gate(options);
}
