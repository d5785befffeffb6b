import { z } from 'zod';
import type { StoreView } from './createStoreState.js';

const faultSchema = z.strictObject({
  /**
   * `down` drops the connection without effect; `slow` waits first; `reply-lost` drops the connection after the
   * effect; `stale-reads` answers reads from the state at the time of the order; `lost-writes` confirms
   * transactions without applying their writes.
   */
  type: z.enum(['down', 'slow', 'reply-lost', 'stale-reads', 'lost-writes']),
  delayMs: z.number().min(0).default(0),
  /** Calls that the fault affects; all by default. */
  times: z.int().min(1).optional(),
  /** Only calls that write a key with this prefix. */
  writePrefix: z.string().optional(),
});

export const storeFaultsSchema = z.strictObject({ faults: z.array(faultSchema) });

/** One fault of the store. */
export type StoreFault = z.output<typeof faultSchema>;

/** One fault as a control order states it. */
export type StoreFaultInput = z.input<typeof faultSchema>;

/** Active faults of the store. */
export interface StoreFaults {
  set(faults: readonly StoreFault[], freeze: () => StoreView): void;
  list(): readonly StoreFault[];
  /** The fault of this type if it affects a call that writes these keys; counts the call. */
  take(type: StoreFault['type'], writtenKeys: readonly string[]): StoreFault | undefined;
  /** State that stale reads see. */
  staleView(): StoreView | undefined;
}

/** Creates an empty list of faults. */
export default function createStoreFaults(): StoreFaults {
  let active: { readonly fault: StoreFault; left: number }[] = [];
  let stale: StoreView | undefined;
  return {
    set: (faults, freeze) => {
      active = faults.map((fault) => ({ fault, left: fault.times ?? Infinity }));
      stale = faults.some((fault) => fault.type === 'stale-reads') ? freeze() : undefined;
    },
    list: () => active.filter(({ left }) => left > 0).map(({ fault }) => fault),
    take: (type, writtenKeys) => {
      const found = active.find(
        ({ fault, left }) =>
          fault.type === type &&
          left > 0 &&
          (fault.writePrefix === undefined || writtenKeys.some((key) => key.startsWith(fault.writePrefix ?? ''))),
      );
      if (found !== undefined) {
        found.left -= 1;
      }
      return found?.fault;
    },
    staleView: () => stale,
  };
}
