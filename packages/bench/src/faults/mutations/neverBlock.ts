import type { PoisonState, PoisonStep } from '@bergamotcove/decide';

/** Records no suspected poison request, so that no request is ever blocked. */
export default function neverBlock(state: PoisonState): PoisonStep {
  return { state, blocked: [] };
}
