import type { RefusalReason, RequestResult } from '@bergamotcove/decide';
import type { Problem } from './types.js';

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  'deadline-passed': 504,
  'no-server': 503,
  'store-unavailable': 503,
  'stage-failed': 502,
  'attempts-exhausted': 502,
  'outcome-unknown': 502,
  'answer-dropped': 409,
  'key-reused': 422,
  poisoned: 422,
  'over-limit': 429,
  draining: 503,
};

/**
 * Builds the problem document of a refusal.
 *
 * @param result - the refusal
 * @returns the document; its `outcome` tells whether the request ran
 * @example
 * formatProblem({ type: 'refused', outcome: 'not-run', reason: 'no-server' });
 */
export default function formatProblem(result: Extract<RequestResult, { type: 'refused' }>): Problem {
  return {
    type: 'about:blank',
    title: result.reason,
    status: STATUS_BY_REASON[result.reason],
    outcome: result.outcome,
    ...(result.retryAfterMs === undefined ? {} : { retryAfterMs: result.retryAfterMs }),
  };
}
