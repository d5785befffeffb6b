import { MAX_ANSWER_BYTES, type RefusalReason, type RequestResult } from '@bergamotcove/decide';
import type { RecordedOutcome } from '@bergamotcove/protocol';

/** Converts a result to the outcome that is recorded; undefined when the request certainly did not run. */
export const toRecordedOutcome = (result: RequestResult): RecordedOutcome | undefined => {
  if (result.type === 'answered') {
    const answer = JSON.stringify(result.output ?? null);
    return Buffer.byteLength(answer) <= MAX_ANSWER_BYTES ? { type: 'answered', answer } : { type: 'dropped' };
  }
  return result.outcome === 'not-run' ? undefined : { type: 'refused', outcome: result.outcome, reason: result.reason };
};

/** Converts a recorded outcome to the result that a resent request gets. */
export const toResult = (outcome: RecordedOutcome): RequestResult => {
  switch (outcome.type) {
    case 'answered':
      return { type: 'answered', output: JSON.parse(outcome.answer) as unknown, stages: [] };
    case 'dropped':
      return { type: 'refused', outcome: 'ran', reason: 'answer-dropped' };
    default:
      return { type: 'refused', outcome: outcome.outcome, reason: outcome.reason as RefusalReason };
  }
};

/** Whether the outcome is unknown, so that a status query may still resolve it. */
export const isUnknown = (outcome: RecordedOutcome): boolean =>
  outcome.type === 'refused' && outcome.outcome === 'unknown';
