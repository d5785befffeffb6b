import { MAX_ANSWER_BYTES, type RefusalReason, type RequestResult } from '@bergamotcove/decide';
import type { RecordedOutcome } from '@bergamotcove/protocol';

/** What is recorded about a result; undefined when the request provably did not run. */
export const toRecordedOutcome = (result: RequestResult): RecordedOutcome | undefined => {
  if (result.type === 'answered') {
    const answer = JSON.stringify(result.output ?? null);
    return Buffer.byteLength(answer) <= MAX_ANSWER_BYTES ? { type: 'answered', answer } : { type: 'dropped' };
  }
  return result.outcome === 'not-run' ? undefined : { type: 'refused', outcome: result.outcome, reason: result.reason };
};

/** Result that a resend gets for a recorded outcome. */
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

/** Whether a status query could still tell more. */
export const isUnknown = (outcome: RecordedOutcome): boolean =>
  outcome.type === 'refused' && outcome.outcome === 'unknown';
