import { POISON_BLOCK_MS } from '../constants.js';
import type { PoisonState } from '../types.js';

/** Removes expired crashes and blocks. */
export default function expireState(state: PoisonState, nowMs: number): PoisonState {
  return {
    crashes: state.crashes.filter((crash) => crash.atMs + POISON_BLOCK_MS > nowMs),
    blocks: new Map([...state.blocks].filter(([, untilMs]) => untilMs > nowMs)),
  };
}
