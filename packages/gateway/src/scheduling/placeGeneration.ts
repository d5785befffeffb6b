import type { EngineChoice, EngineSelector, GenerationNeed } from '@bergamotcove/decide';
import type { RateLimits } from '../limits/createRateLimits.js';

/** Engine of a generation, or the time at which it is expected to get one. */
export type GenerationPlacement =
  /** With `permitted`, one of the sends that the engine's rate limit allows was taken for it. */
  | { readonly type: 'placed'; readonly choice: EngineChoice; readonly permitted: boolean }
  | { readonly type: 'later'; readonly atMs: number }
  | { readonly type: 'no-engine' };

/** Dependencies of {@link placeGeneration}. */
export interface GenerationPorts {
  readonly selector: EngineSelector;
  readonly limits: Pick<RateLimits, 'isOwned' | 'takeOwned' | 'closedUntilMs'>;
  /** Engines that may be chosen. */
  readonly servers: readonly { readonly serverId: string }[];
  readonly pool: string;
  readonly key: string;
  readonly nowMs: number;
}

/**
 * Chooses an engine whose rate limit allows another request, and takes one of its sends. When no engine is open, the
 * generation gets a slot at the engines whose sends this host hands out.
 *
 * @param need - the generation
 * @param ports - engines and their limits
 * @returns the engine, or the time to ask again
 */
export default function placeGeneration(need: GenerationNeed, ports: GenerationPorts): GenerationPlacement {
  const { selector, limits, pool, key, nowMs } = ports;
  const owned = ports.servers.map(({ serverId }) => serverId).filter((serverId) => limits.isOwned(serverId));
  const closed = owned.filter((serverId) => limits.closedUntilMs(serverId) > nowMs);
  const { closedServers = [] } = need;
  for (;;) {
    const choice = selector.choose({ ...need, closedServers: [...closedServers, ...closed] }, nowMs);
    if (choice === undefined) {
      break;
    }
    const serverIds = [choice.serverId];
    if (!owned.includes(choice.serverId)) {
      return { type: 'placed', choice, permitted: false };
    }
    if (limits.takeOwned({ queue: pool, key, serverIds }).type === 'granted') {
      return { type: 'placed', choice, permitted: true };
    }
    closed.push(choice.serverId);
  }
  if (closed.length === 0) {
    return { type: 'no-engine' };
  }
  const untried = closed.filter((serverId) => !need.avoidServers.includes(serverId));
  const serverIds = untried.length > 0 ? untried : closed;
  const decision = limits.takeOwned({ queue: pool, key, serverIds, maxWaitMs: need.deadlineAtMs - nowMs });
  if (decision.type === 'later') {
    return decision;
  }
  const others = closed.filter((serverId) => serverId !== decision.serverId);
  const choice = selector.choose({ ...need, closedServers: [...closedServers, ...others] }, nowMs);
  return choice === undefined ? { type: 'no-engine' } : { type: 'placed', choice, permitted: true };
}
