import type { LogEventSpec } from './events.js';

const escapeCell = (text: string): string => text.replaceAll('|', '\\|');

/**
 * Formats the event catalogue as the page `docs/log-events.md`.
 *
 * @param events - the events by name
 * @param texts - what each event means, by name
 * @returns the page, sorted by id
 * @example
 * formatEventCatalogue(LOG_EVENTS, eventTexts);
 */
export default function formatEventCatalogue<Name extends string>(
  events: Readonly<Record<Name, LogEventSpec>>,
  texts: Readonly<Record<Name, string>>,
): string {
  const names = Object.keys(events) as Name[];
  const rows = names
    .sort((a, b) => events[a].id - events[b].id)
    .map((name) => `| ${events[name].id} | \`${name}\` | ${events[name].level} | ${escapeCell(texts[name])} |`);
  return [
    '# Log events',
    '',
    'Written by `npm run docs` from `packages/log/src/events.ts` and `eventTexts.ts`. Each event is one JSON object on standard output with',
    'the fields `event` (the id), `name`, `level`, the host and the fields of the occurrence. Fields hold ids, sizes and',
    'reasons, never payloads of requests. See [operators/logs.md](operators/logs.md) for how to select and read them.',
    '',
    '| id | name | level | meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
