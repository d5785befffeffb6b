import { z } from 'zod';
import type { TraceLine } from './types.js';

const lineSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('trace'),
    name: z.string(),
    about: z.string(),
    reducer: z.enum(['request', 'shard', 'poison', 'membership']),
    initial: z.unknown(),
  }),
  z.strictObject({
    type: z.literal('event'),
    atMs: z.number(),
    event: z.record(z.string(), z.unknown()),
    actions: z.array(z.unknown()),
  }),
  z.strictObject({ type: z.literal('outcome'), state: z.unknown() }),
]);

/** A trace as it was read. */
export interface ParsedTrace {
  readonly head: Extract<TraceLine, { type: 'trace' }>;
  readonly events: readonly Extract<TraceLine, { type: 'event' }>[];
  readonly outcome: unknown;
}

/**
 * Reads a trace of JSON lines.
 *
 * @param text - content of the file
 * @returns the trace
 * @throws Error when a line does not match the format, or the first or last line is missing
 */
export default function parseTrace(text: string): ParsedTrace {
  const lines = text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line): TraceLine => lineSchema.parse(JSON.parse(line)));
  const [head] = lines;
  const end = lines.at(-1);
  if (head?.type !== 'trace' || end?.type !== 'outcome') {
    throw new Error('a trace starts with a line of type "trace" and ends with one of type "outcome"');
  }
  const events = lines.filter((line) => line.type === 'event');
  return { head, events, outcome: end.state };
}
