import type { RequestEvent, RequestState, RequestStep } from '@bergamotcove/decide';
import { ORIGINAL, type OriginalModule } from './importOriginal.js';

type Advance = (state: RequestState, event: RequestEvent, nowMs: number) => RequestStep;
const { default: advance } = (await import(ORIGINAL)) as OriginalModule<Advance>;

/** Reports each claim as granted as soon as it is requested, without waiting until it is durable. */
export default function sendBeforeClaim(state: RequestState, event: RequestEvent, nowMs: number): RequestStep {
  const step = advance(state, event, nowMs);
  if (!step.actions.some(({ type }) => type === 'claim')) {
    return step;
  }
  const next = advance(step.state, { type: 'claim-decided', decision: { type: 'granted' } }, nowMs);
  return { state: next.state, actions: [...step.actions, ...next.actions] };
}
