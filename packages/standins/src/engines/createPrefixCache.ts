import { createHash } from 'node:crypto';

/** Change of the cache, for cache events. */
export interface CacheChange {
  readonly type: 'stored' | 'removed';
  readonly block: string;
}

/** Prefix cache of an engine: blocks of prompt text in limited memory, least recently used removed first. */
export interface PrefixCache {
  /** Number of leading blocks that are cached; marks them as used. */
  match(blocks: readonly string[]): number;
  store(blocks: readonly string[]): void;
  blocks(): readonly string[];
  clear(): void;
}

/** Characters of prompt text in one block: 16 tokens of 4 characters. */
export const BLOCK_CHARS = 64;

/**
 * Splits a prompt into block ids. Each id covers the text from the start, so that equal ids mean equal prefixes.
 *
 * @param prompt - prompt text
 * @returns ids of the whole blocks, in order
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
 * @param capacityBlocks - memory in blocks
 * @param onChange - told about each stored and removed block
 * @returns the cache
 */
export default function createPrefixCache(
  capacityBlocks: number,
  onChange: (change: CacheChange) => void,
): PrefixCache {
  const used = new Set<string>();
  const touch = (block: string): void => {
    used.delete(block);
    used.add(block);
  };
  const removeOldest = (): void => {
    const [oldest] = used;
    if (oldest !== undefined) {
      used.delete(oldest);
      onChange({ type: 'removed', block: oldest });
    }
  };
  return {
    match: (blocks) => {
      const missing = blocks.findIndex((block) => !used.has(block));
      const count = missing === -1 ? blocks.length : missing;
      blocks.slice(0, count).forEach(touch);
      return count;
    },
    store: (blocks) => {
      blocks.forEach((block) => {
        const known = used.has(block);
        touch(block);
        if (!known) {
          onChange({ type: 'stored', block });
        }
        while (used.size > capacityBlocks) {
          removeOldest();
        }
      });
    },
    blocks: () => [...used],
    clear: () => used.clear(),
  };
}
