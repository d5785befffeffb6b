import type { AdmissionDecision, AdmissionRequest } from './types.js';

const MIN_RETRY_AFTER_MS = 50;

/** What the host knows about the load. */
export interface AdmissionOutlook {
  /** Work that would be released before the request. */
  readonly tokensBefore: number;
  /** Rate at which the host releases work while requests wait. */
  readonly drainTokensPerMs: number;
  /** Wait until the limit of the organisation has room. */
  readonly limitWaitMs: number;
}

/**
 * Decides if a request may wait. It is refused at once if it would miss its deadline, and told when the queue will
 * have drained far enough. Waiting is preferred while the deadline allows it.
 *
 * @param request - the request
 * @param outlook - what the host knows
 * @param nowMs - monotonic time
 * @returns the decision
 * @example
 * decideAdmission(request, { tokensBefore: 0, drainTokensPerMs: 1, limitWaitMs: 0 }, nowMs);
 */
export default function decideAdmission(
  request: AdmissionRequest,
  outlook: AdmissionOutlook,
  nowMs: number,
): AdmissionDecision {
  const queueMs = outlook.tokensBefore === 0 ? 0 : outlook.tokensBefore / outlook.drainTokensPerMs;
  const waitMs = Math.max(queueMs, outlook.limitWaitMs);
  // Without a wait a request is admitted unless it is likely to miss. Otherwise a few slow answers would keep every
  // request out, and the learnt times would never recover.
  const runMs = waitMs === 0 ? request.typicalMs : request.runMs;
  const overMs = nowMs + waitMs + runMs - request.deadlineAtMs;
  if (overMs <= 0) {
    return { type: 'queued' };
  }
  const reason = outlook.limitWaitMs > queueMs ? 'over-limit' : 'deadline-passed';
  return { type: 'refused', reason, retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, overMs)) };
}
