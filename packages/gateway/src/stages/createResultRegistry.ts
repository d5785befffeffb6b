/** Location and size of a result. */
export interface StoredResult {
  readonly serverId: string;
  readonly resultBytes: number;
  /** Monotonic time at which its server drops it. */
  readonly expiresAtMs: number;
}

/** Results that use memory at the servers of a pool. */
export interface ResultRegistry {
  /** Adds a result and removes those that have expired. */
  add(result: string, stored: StoredResult, nowMs: number): void;
  /** Removes and returns a result; undefined when it is not registered. */
  take(result: string): StoredResult | undefined;
  /** Marks a result as evictable; undefined when it is already marked or not registered. */
  markEvictable(result: string): StoredResult | undefined;
  /** Removes and returns the evictable results of a server. */
  takeEvictable(serverId: string): ReadonlyMap<string, StoredResult>;
}

/**
 * Creates an empty registry of stage results.
 *
 * @returns the registry
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
      // All results have the same lifetime, so the oldest ones expire first.
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
