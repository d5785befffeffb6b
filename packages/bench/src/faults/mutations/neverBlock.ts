import type { PoisonState, PoisonStep } from '@bergamotcove/decide';

/** Keeps no suspicion, so that nothing is ever blocked. */
export default function neverBlock(state: PoisonState): PoisonStep {
  return { state, blocked: [] };
}
