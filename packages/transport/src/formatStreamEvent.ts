import type { StreamEvent } from './readEventStream.js';

/**
 * Formats one server-sent event.
 *
 * @param event - the event; line breaks in its data are preserved
 * @returns the text to write to the response
 * @example
 * response.write(formatStreamEvent({ id: '3', event: 'token', data: '"text"' }));
 */
export default function formatStreamEvent(event: StreamEvent): string {
  const idLine = event.id === undefined ? '' : `id: ${event.id}\n`;
  const dataLines = event.data.split('\n').map((line) => `data: ${line}\n`);
  return `${idLine}event: ${event.event}\n${dataLines.join('')}\n`;
}
