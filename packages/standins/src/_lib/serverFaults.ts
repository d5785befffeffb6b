import { z } from 'zod';

const faultSchema = z.strictObject({
  /**
   * `crash-before` and `crash-after` drop every connection and refuse new ones for `delayMs`, before or after the
   * execution; `reset-before`, `reset-after` and `reply-lost` break or silence the one connection; `slow` executes
   * later; `late` answers later; `duplicate` answers twice; `swapped` exchanges the answers of two requests;
   * `leaving` refuses with proof that nothing ran; `poison` crashes when the input contains `marker`.
   */
  type: z.enum([
    'crash-before',
    'crash-after',
    'reset-before',
    'reset-after',
    'reply-lost',
    'slow',
    'late',
    'duplicate',
    'swapped',
    'leaving',
    'poison',
  ]),
  delayMs: z.number().min(0).default(0),
  /** Requests that the fault affects; all by default. */
  times: z.int().min(1).optional(),
  marker: z.string().optional(),
  /** For streams: token before which a crash, reset or lost reply acts; the first one by default. */
  atToken: z.int().min(0).default(0),
});

export const serverFaultsSchema = z.strictObject({ faults: z.array(faultSchema) });

/** One fault of a backend server. */
export type ServerFault = z.output<typeof faultSchema>;

/** One fault as a control order states it. */
export type ServerFaultInput = z.input<typeof faultSchema>;

/** Active faults of one backend server. */
export interface ServerFaults {
  set(faults: readonly ServerFault[]): void;
  add(fault: ServerFault): void;
  list(): readonly ServerFault[];
  /** The fault of this type if it affects the request; counts the request. */
  take(type: ServerFault['type'], matches?: (fault: ServerFault) => boolean): ServerFault | undefined;
}

/** Creates an empty list of faults. */
export default function createServerFaults(): ServerFaults {
  let active: { readonly fault: ServerFault; left: number }[] = [];
  const start = (fault: ServerFault) => ({ fault, left: fault.times ?? Infinity });
  return {
    set: (faults) => {
      active = faults.map(start);
    },
    add: (fault) => {
      active.push(start(fault));
    },
    list: () => active.filter(({ left }) => left > 0).map(({ fault }) => fault),
    take: (type, matches = () => true) => {
      const found = active.find(({ fault, left }) => fault.type === type && left > 0 && matches(fault));
      if (found !== undefined) {
        found.left -= 1;
      }
      return found?.fault;
    },
  };
}
