import type { AdmissionDecision, AdmissionRequest } from './types.js';

const MIN_RETRY_AFTER_MS = 50;

/** Load of the host as seen by the request. */
export interface AdmissionOutlook {
  /** Work that would be released before the request. */
  readonly tokensBefore: number;
  /** Rate at which the host releases work while requests wait. */
  readonly drainTokensPerMs: number;
  /** Wait until the limit of the organisation has room. */
  readonly limitWaitMs: number;
}

/**
 * Decides whether a request may wait. Waiting is preferred while the deadline allows it. A request that would miss its
 * deadline is refused at once, with the time until the queue is expected to be short enough.
 *
 * @param request - the request
 * @param outlook - load of the host
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
  // A request without a wait is checked with the median time: otherwise a few slow answers would keep all requests out,
  // and the learnt times would never recover.
  const runMs = waitMs === 0 ? request.typicalMs : request.runMs;
  const overMs = nowMs + waitMs + runMs - request.deadlineAtMs;
  if (overMs <= 0) {
    return { type: 'queued' };
  }
  const reason = outlook.limitWaitMs > queueMs ? 'over-limit' : 'deadline-passed';
  return { type: 'refused', reason, retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, overMs)) };
}
