import type { PromptPart } from '../types.js';

/** Model of the prompt parts that an engine has in its prefix cache. */
export interface PrefixCache {
  /** Returns the tokens of the leading parts that are cached, up to the first missing part. */
  prefixTokens(parts: readonly PromptPart[]): number;
  /** Marks the parts as cached and most recently used; evicts others over the capacity. */
  use(parts: readonly PromptPart[]): void;
}

/** Share of the engine's memory that is left for the cache; requests in progress use the rest. */
const CACHE_SHARE = 0.8;

/**
 * Creates the model of an engine's prefix cache, which evicts the least recently used parts.
 *
 * @param capacityTokens - tokens that fit into the engine's memory
 * @returns the cache
 */
export default function createPrefixCache(capacityTokens: number): PrefixCache {
  /** Tokens by part, in the order from least to most recently used. */
  const tokensByPart = new Map<string, number>();
  let totalTokens = 0;
  return {
    prefixTokens: (parts) => {
      let tokens = 0;
      for (const part of parts) {
        const cachedTokens = tokensByPart.get(part.partId);
        if (cachedTokens === undefined) {
          break;
        }
        tokens += Math.min(cachedTokens, part.tokens);
      }
      return tokens;
    },
    use: (parts) => {
      parts.forEach(({ partId, tokens }) => {
        totalTokens += tokens - (tokensByPart.get(partId) ?? 0);
        tokensByPart.delete(partId);
        tokensByPart.set(partId, tokens);
      });
      for (const [partId, tokens] of tokensByPart) {
        if (totalTokens <= capacityTokens * CACHE_SHARE) {
          break;
        }
        tokensByPart.delete(partId);
        totalTokens -= tokens;
      }
    },
  };
}
