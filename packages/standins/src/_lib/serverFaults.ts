import { z } from 'zod';

const faultSchema = z.strictObject({
  /**
   * `crash-before` and `crash-after` drop every connection and refuse new ones for `delayMs`, before or after the
   * execution. `reset-before` and `reset-after` reset the connection of the request before or after the execution;
   * `reply-lost` executes the request but sends no response. `slow` delays the execution, `late` delays the response.
   * `duplicate` sends the response twice, `swapped` swaps the responses of two requests. `leaving` refuses the request
   * with a reply that states that nothing was executed. `poison` crashes when the input contains `marker`.
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
  /** Number of requests that the fault affects; unlimited by default. */
  times: z.int().min(1).optional(),
  marker: z.string().optional(),
  /** For streams: index of the first token before which the fault can act; 0 by default. */
  atToken: z.int().min(0).default(0),
});

export const serverFaultsSchema = z.strictObject({ faults: z.array(faultSchema) });

/** One fault of a backend server. */
export type ServerFault = z.output<typeof faultSchema>;

/** One fault as the control endpoint accepts it. */
export type ServerFaultInput = z.input<typeof faultSchema>;

/** Active faults of one backend server. */
export interface ServerFaults {
  set(faults: readonly ServerFault[]): void;
  add(fault: ServerFault): void;
  list(): readonly ServerFault[];
  /** Finds an active fault of this type that matches and counts one use of it; undefined when there is none. */
  take(type: ServerFault['type'], matches?: (fault: ServerFault) => boolean): ServerFault | undefined;
}

/** Creates the fault list of a backend server, without faults. */
export default function createServerFaults(): ServerFaults {
  let activeFaults: { readonly fault: ServerFault; remaining: number }[] = [];
  const activate = (fault: ServerFault) => ({ fault, remaining: fault.times ?? Infinity });
  return {
    set: (faults) => {
      activeFaults = faults.map(activate);
    },
    add: (fault) => {
      activeFaults.push(activate(fault));
    },
    list: () => activeFaults.filter(({ remaining }) => remaining > 0).map(({ fault }) => fault),
    take: (type, matches = () => true) => {
      const found = activeFaults.find(({ fault, remaining }) => fault.type === type && remaining > 0 && matches(fault));
      if (found !== undefined) {
        found.remaining -= 1;
      }
      return found?.fault;
    },
  };
}
