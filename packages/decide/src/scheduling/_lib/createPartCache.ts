import type { PartNeed } from '../types.js';

/** Parts of prompts that an engine is expected to hold. */
export interface PartCache {
  /** Tokens of the leading parts that are held. */
  prefixTokens(parts: readonly PartNeed[]): number;
  /** The parts are read or used now. */
  use(parts: readonly PartNeed[]): void;
}

/** Part of the memory that requests in progress leave for the cache. */
const CACHE_SHARE = 0.8;

/**
 * Creates the model of an engine's prefix cache: the least recently used parts yield.
 *
 * @param capacityTokens - tokens that the engine holds
 * @returns the cache
 */
export default function createPartCache(capacityTokens: number): PartCache {
  /** Tokens by part; the least recently used first. */
  const held = new Map<string, number>();
  let total = 0;
  return {
    prefixTokens: (parts) => {
      let tokens = 0;
      for (const part of parts) {
        const known = held.get(part.partId);
        if (known === undefined) {
          break;
        }
        tokens += Math.min(known, part.tokens);
      }
      return tokens;
    },
    use: (parts) => {
      parts.forEach(({ partId, tokens }) => {
        total += tokens - (held.get(partId) ?? 0);
        held.delete(partId);
        held.set(partId, tokens);
      });
      for (const [partId, tokens] of held) {
        if (total <= capacityTokens * CACHE_SHARE) {
          break;
        }
        held.delete(partId);
        total -= tokens;
      }
    },
  };
}
