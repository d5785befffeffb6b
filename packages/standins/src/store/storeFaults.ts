import { z } from 'zod';
import type { StoreView } from './createStoreState.js';

const faultSchema = z.strictObject({
  /**
   * `down` drops the connection before the call takes effect; `slow` delays the call; `reply-lost` drops the connection
   * after the call has taken effect; `stale-reads` serves reads from the state at the time when the fault was set;
   * `lost-writes` confirms transactions without applying their writes.
   */
  type: z.enum(['down', 'slow', 'reply-lost', 'stale-reads', 'lost-writes']),
  delayMs: z.number().min(0).default(0),
  /** Number of calls that the fault affects; unlimited by default. */
  times: z.int().min(1).optional(),
  /** Limits the fault to calls that write a key with this prefix. */
  writePrefix: z.string().optional(),
});

export const storeFaultsSchema = z.strictObject({ faults: z.array(faultSchema) });

/** One fault of the store. */
export type StoreFault = z.output<typeof faultSchema>;

/** One fault as the control endpoint accepts it. */
export type StoreFaultInput = z.input<typeof faultSchema>;

/** Active faults of the store. */
export interface StoreFaults {
  set(faults: readonly StoreFault[], takeSnapshot: () => StoreView): void;
  list(): readonly StoreFault[];
  /** Finds an active fault of this type for a call that writes these keys and counts one use; undefined if none. */
  take(type: StoreFault['type'], writtenKeys: readonly string[]): StoreFault | undefined;
  /** Snapshot that reads see under `stale-reads`; undefined without that fault. */
  staleView(): StoreView | undefined;
}

/** Creates the fault list of the store, without faults. */
export default function createStoreFaults(): StoreFaults {
  let activeFaults: { readonly fault: StoreFault; remaining: number }[] = [];
  let staleSnapshot: StoreView | undefined;
  return {
    set: (faults, takeSnapshot) => {
      activeFaults = faults.map((fault) => ({ fault, remaining: fault.times ?? Infinity }));
      staleSnapshot = faults.some((fault) => fault.type === 'stale-reads') ? takeSnapshot() : undefined;
    },
    list: () => activeFaults.filter(({ remaining }) => remaining > 0).map(({ fault }) => fault),
    take: (type, writtenKeys) => {
      const found = activeFaults.find(
        ({ fault, remaining }) =>
          fault.type === type &&
          remaining > 0 &&
          (fault.writePrefix === undefined || writtenKeys.some((key) => key.startsWith(fault.writePrefix ?? ''))),
      );
      if (found !== undefined) {
        found.remaining -= 1;
      }
      return found?.fault;
    },
    staleView: () => staleSnapshot,
  };
}
