/** Where a result lies and how much room it takes. */
export interface StoredResult {
  readonly serverId: string;
  readonly resultBytes: number;
  /** When its server drops it, monotonic time. */
  readonly expiresAtMs: number;
}

/** Results that take up room at the servers of a pool. */
export interface ResultRegistry {
  /** Adds a result and drops those that have expired. */
  add(result: string, stored: StoredResult, nowMs: number): void;
  /** Removes a result; undefined when it is not in the book. */
  take(result: string): StoredResult | undefined;
  /** Marks a result as one that may be given up; undefined when it was, or is not in the book. */
  markEvictable(result: string): StoredResult | undefined;
  /** Removes the results at a server that may be given up. */
  takeEvictable(serverId: string): ReadonlyMap<string, StoredResult>;
}

/**
 * Creates an empty book.
 *
 * @returns the book
 */
export default function createResultRegistry(): ResultRegistry {
  const results = new Map<string, StoredResult>();
  const evictable = new Set<string>();

  const remove = (result: string): StoredResult | undefined => {
    const stored = results.get(result);
    results.delete(result);
    evictable.delete(result);
    return stored;
  };

  return {
    add: (result, stored, nowMs) => {
      // Results are kept for the same time, so that the oldest ones expire first.
      for (const [oldest, { expiresAtMs }] of results) {
        if (expiresAtMs > nowMs) {
          break;
        }
        remove(oldest);
      }
      results.set(result, stored);
    },
    take: remove,
    markEvictable: (result) => {
      const stored = results.get(result);
      if (stored === undefined || evictable.has(result)) {
        return undefined;
      }
      evictable.add(result);
      return stored;
    },
    takeEvictable: (serverId) => {
      const taken = new Map<string, StoredResult>();
      evictable.forEach((result) => {
        const stored = results.get(result);
        if (stored?.serverId === serverId) {
          taken.set(result, stored);
          remove(result);
        }
      });
      return taken;
    },
  };
}
