/** Where a result lies and how much room it takes. */
export interface BookedResult {
  readonly serverId: string;
  readonly resultBytes: number;
  /** When its server drops it, monotonic time. */
  readonly expiresAtMs: number;
}

/** Results that take up room at the servers of a pool. */
export interface ResultBook {
  /** Adds a result and drops those that have expired. */
  add(result: string, booked: BookedResult, nowMs: number): void;
  /** Removes a result; undefined when it is not in the book. */
  take(result: string): BookedResult | undefined;
  /** Marks a result as one that may be given up; undefined when it was, or is not in the book. */
  spare(result: string): BookedResult | undefined;
  /** Removes the results at a server that may be given up. */
  takeSpare(serverId: string): ReadonlyMap<string, BookedResult>;
}

/**
 * Creates an empty book.
 *
 * @returns the book
 */
export default function createResultBook(): ResultBook {
  const results = new Map<string, BookedResult>();
  const spares = new Set<string>();

  const take = (result: string): BookedResult | undefined => {
    const booked = results.get(result);
    results.delete(result);
    spares.delete(result);
    return booked;
  };

  return {
    add: (result, booked, nowMs) => {
      // Results are kept for the same time, so that the oldest ones expire first.
      for (const [oldest, { expiresAtMs }] of results) {
        if (expiresAtMs > nowMs) {
          break;
        }
        take(oldest);
      }
      results.set(result, booked);
    },
    take,
    spare: (result) => {
      const booked = results.get(result);
      if (booked === undefined || spares.has(result)) {
        return undefined;
      }
      spares.add(result);
      return booked;
    },
    takeSpare: (serverId) => {
      const taken = new Map<string, BookedResult>();
      spares.forEach((result) => {
        const booked = results.get(result);
        if (booked?.serverId === serverId) {
          taken.set(result, booked);
          take(result);
        }
      });
      return taken;
    },
  };
}
