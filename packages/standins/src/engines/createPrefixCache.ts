import { createHash } from 'node:crypto';

/** A change of the cache, as reported in cache events. */
export interface CacheChange {
  readonly type: 'stored' | 'removed';
  readonly block: string;
}

/** Prefix cache of an engine: a bounded LRU cache of blocks of prompt text. */
export interface PrefixCache {
  /** Returns the number of leading blocks that are cached and marks these as recently used. */
  match(blocks: readonly string[]): number;
  store(blocks: readonly string[]): void;
  blocks(): readonly string[];
  clear(): void;
}

/** Characters of prompt text in a block: 16 tokens of 4 characters. */
export const BLOCK_CHARS = 64;

/**
 * Splits a prompt into blocks and hashes them. Each block id covers the text from the start of the prompt, so that
 * equal ids mean equal prefixes.
 *
 * @param prompt - prompt text
 * @returns ids of the complete blocks, in order
 */
export const hashBlocks = (prompt: string): readonly string[] => {
  const count = Math.floor(prompt.length / BLOCK_CHARS);
  let previous = '';
  return Array.from({ length: count }, (_, index) => {
    const text = prompt.slice(index * BLOCK_CHARS, (index + 1) * BLOCK_CHARS);
    previous = createHash('sha256').update(previous).update(text).digest('base64url').slice(0, 16);
    return previous;
  });
};

/**
 * Creates an empty prefix cache.
 *
 * @param capacityBlocks - capacity in blocks
 * @param onChange - called for each stored and removed block
 * @returns the cache
 */
export default function createPrefixCache(
  capacityBlocks: number,
  onChange: (change: CacheChange) => void,
): PrefixCache {
  const cachedBlocks = new Set<string>();
  const touch = (block: string): void => {
    cachedBlocks.delete(block);
    cachedBlocks.add(block);
  };
  const evictOldest = (): void => {
    const [oldest] = cachedBlocks;
    if (oldest !== undefined) {
      cachedBlocks.delete(oldest);
      onChange({ type: 'removed', block: oldest });
    }
  };
  return {
    match: (blocks) => {
      const firstMissing = blocks.findIndex((block) => !cachedBlocks.has(block));
      const count = firstMissing === -1 ? blocks.length : firstMissing;
      blocks.slice(0, count).forEach(touch);
      return count;
    },
    store: (blocks) => {
      blocks.forEach((block) => {
        const wasCached = cachedBlocks.has(block);
        touch(block);
        if (!wasCached) {
          onChange({ type: 'stored', block });
        }
        while (cachedBlocks.size > capacityBlocks) {
          evictOldest();
        }
      });
    },
    blocks: () => [...cachedBlocks],
    clear: () => cachedBlocks.clear(),
  };
}
