import type { RequestEvent, RequestState, RequestStep } from '@bergamotcove/decide';
import { ORIGINAL, type OriginalModule } from './importOriginal.js';

type Advance = (state: RequestState, event: RequestEvent, nowMs: number) => RequestStep;
const { default: advance } = (await import(ORIGINAL)) as OriginalModule<Advance>;

/** Gives every answer to the open attempt, whatever attempt it belongs to. */
export default function acceptAnyAttempt(state: RequestState, event: RequestEvent, nowMs: number): RequestStep {
  const open = state.attempts[0]?.attemptId;
  return 'attemptId' in event && open !== undefined
    ? advance(state, { ...event, attemptId: open }, nowMs)
    : advance(state, event, nowMs);
}
