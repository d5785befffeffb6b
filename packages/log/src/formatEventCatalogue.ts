import type { LogEventSpec } from './events.js';

const escapeCell = (text: string): string => text.replaceAll('|', '\\|');

/**
 * Formats the event catalogue as the page `docs/log-events.md`.
 *
 * @param events - the events by name
 * @returns the page, sorted by id
 * @example
 * formatEventCatalogue(LOG_EVENTS);
 */
export default function formatEventCatalogue(events: Readonly<Record<string, LogEventSpec>>): string {
  const rows = Object.entries(events)
    .sort(([, a], [, b]) => a.id - b.id)
    .map(([name, { id, level, text }]) => `| ${id} | \`${name}\` | ${level} | ${escapeCell(text)} |`);
  return [
    '# Log events',
    '',
    'Written by `npm run docs` from `packages/log/src/events.ts`. Each event is one JSON object on standard output with',
    'the fields `event` (the id), `name`, `level`, the host and the fields of the occurrence. Fields hold ids, sizes and',
    'reasons, never payloads of requests. See [operators/logs.md](operators/logs.md) for how to select and read them.',
    '',
    '| id | name | level | meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
