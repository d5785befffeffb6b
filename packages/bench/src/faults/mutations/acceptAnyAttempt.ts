import type { RequestEvent, RequestState, RequestStep } from '@bergamotcove/decide';
import { ORIGINAL, type OriginalModule } from './importOriginal.js';

type Advance = (state: RequestState, event: RequestEvent, nowMs: number) => RequestStep;
const { default: advance } = (await import(ORIGINAL)) as OriginalModule<Advance>;

/** Attributes every answer to the open attempt, whichever attempt it belongs to. */
export default function acceptAnyAttempt(state: RequestState, event: RequestEvent, nowMs: number): RequestStep {
  const openAttemptId = state.attempts[0]?.attemptId;
  return 'attemptId' in event && openAttemptId !== undefined
    ? advance(state, { ...event, attemptId: openAttemptId }, nowMs)
    : advance(state, event, nowMs);
}
