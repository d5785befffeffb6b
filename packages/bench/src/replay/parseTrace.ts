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

/** A parsed trace: its first line, its events and the expected fields of the final state. */
export interface ParsedTrace {
  readonly header: Extract<TraceLine, { type: 'trace' }>;
  readonly events: readonly Extract<TraceLine, { type: 'event' }>[];
  readonly outcome: unknown;
}

/**
 * Parses a trace of JSON lines.
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
  const [header] = lines;
  const last = lines.at(-1);
  if (header?.type !== 'trace' || last?.type !== 'outcome') {
    throw new Error('a trace starts with a line of type "trace" and ends with one of type "outcome"');
  }
  const events = lines.filter((line) => line.type === 'event');
  return { header, events, outcome: last.state };
}
