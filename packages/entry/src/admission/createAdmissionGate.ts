import type { Clock, Timer } from '@bergamotcove/clock';
import type { OrganisationLimit, ServiceDocument } from '@bergamotcove/config';
import { createAdmission, shareLimit, type AdmissionRequest, type RequestPlan } from '@bergamotcove/decide';
import type { Estimates } from '../servers/createEstimates.js';
import type { PoolQueues } from '../servers/createPoolQueues.js';

/** Answer to a request for admission. */
export type GateDecision =
  | { readonly type: 'admitted' }
  | { readonly type: 'refused'; readonly reason: 'over-limit' | 'deadline-passed'; readonly retryAfterMs: number };

/** Admission of requests on this host. */
export interface AdmissionGate {
  /** Resolves when the request may start or is refused. */
  admit(plan: RequestPlan, document: ServiceDocument): Promise<GateDecision>;
  /** Requests that wait. */
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
  /** Live entry hosts in view; they share the limits. */
  readonly liveHosts: () => number;
}

/** Interval at which waiting requests are looked at; servers become free at any moment. */
const PUMP_MS = 10;
/** Interval at which requests are given up that would miss their deadline. */
const EXPIRE_MS = 100;
/** Attempts of this host that may wait for a server before requests are held back. */
const RELEASE_WINDOW = 1;
const OVERLOAD_WAIT_MS = 300;
const RUN_QUANTILE = 0.95;
const TYPICAL_QUANTILE = 0.5;

interface Waiting extends AdmissionRequest {
  readonly decide: (decision: GateDecision) => void;
}

const findLimit = (document: ServiceDocument, organisation: string): OrganisationLimit =>
  document.organisations.overrides[organisation] ?? document.organisations.default;

class Gate implements AdmissionGate {
  private readonly admission = createAdmission<Waiting>();

  private timer: Timer | undefined;

  private expiredAtMs = 0;

  private closed = false;

  constructor(private readonly options: AdmissionGateOptions) {}

  admit(plan: RequestPlan, document: ServiceDocument): Promise<GateDecision> {
    return new Promise((resolve) => {
      const { clock, liveHosts } = this.options;
      const limit = findLimit(document, plan.organisation);
      const item = this.createItem(plan, limit, resolve);
      const decision = this.admission.offer(item, shareLimit(limit, liveHosts()), clock.monotonicMs());
      if (decision.type === 'refused') {
        resolve(decision);
      } else {
        this.pump();
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

  private createItem(plan: RequestPlan, limit: OrganisationLimit, decide: Waiting['decide']): Waiting {
    const { estimates } = this.options;
    const generates = plan.stages.some((stage) => stage.kind === 'generate');
    return {
      requestId: plan.requestId,
      // Limits and weights belong to a service, so the same organisation has a share in each service.
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

  private pump(): void {
    const nowMs = this.options.clock.monotonicMs();
    while (this.options.queues.waiting() < RELEASE_WINDOW) {
      const released = this.admission.release(nowMs);
      if (released === undefined) {
        break;
      }
      const { item, late } = released;
      item.decide(late ? this.refuseLate(item, nowMs) : { type: 'admitted' });
    }
    if (nowMs - this.expiredAtMs >= EXPIRE_MS) {
      this.expiredAtMs = nowMs;
      this.admission.expire(nowMs).forEach((item) => item.decide(this.refuseLate(item, nowMs)));
    }
    this.schedulePump();
  }

  private refuseLate(item: Waiting, nowMs: number): GateDecision {
    const waitMs = this.admission.waitMs(nowMs) + nowMs + item.runMs - item.deadlineAtMs;
    return { type: 'refused', reason: 'deadline-passed', retryAfterMs: Math.ceil(Math.max(EXPIRE_MS, waitMs)) };
  }

  private schedulePump(): void {
    if (this.admission.length > 0 && this.timer === undefined && !this.closed) {
      this.timer = this.options.clock.schedule(PUMP_MS, () => {
        this.timer = undefined;
        this.pump();
      });
    }
  }
}

/**
 * Creates the admission of this host. A request waits while its deadline allows it; if not, it is refused at once
 * with the time after which a retry helps. Nothing has run for a refused request.
 *
 * @param options - estimates and queues of this host
 * @returns the gate; close it to stop its timer
 */
export default function createAdmissionGate(options: AdmissionGateOptions): AdmissionGate {
  return new Gate(options);
}
