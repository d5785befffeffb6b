import type { Readable } from 'node:stream';
import TransportError from './TransportError.js';

/** One server-sent event. */
export interface StreamEvent {
  readonly id?: string;
  readonly event: string;
  readonly data: string;
}

const MAX_EVENT_CHARS = 1_048_576;

const parseBlock = (block: string): StreamEvent => {
  let id: string | undefined;
  let event = 'message';
  const data: string[] = [];
  block.split('\n').forEach((line) => {
    const colon = line.indexOf(':');
    const field = colon === -1 ? line : line.slice(0, colon);
    const value = colon === -1 ? '' : line.slice(colon + 1).replace(/^ /, '');
    if (field === 'id') {
      id = value;
    } else if (field === 'event') {
      event = value;
    } else if (field === 'data') {
      data.push(value);
    }
  });
  return { ...(id === undefined ? {} : { id }), event, data: data.join('\n') };
};

/**
 * Reads a server-sent event stream. An event that is cut off before its blank line is not yielded.
 *
 * @param stream - response body
 * @returns the events in order
 * @throws TransportError `connection-lost` when the stream breaks, `too-large` for an oversized event
 * @example
 * for await (const event of parseEventStream(response)) { handle(event.data); }
 */
export default async function* parseEventStream(stream: Readable): AsyncGenerator<StreamEvent> {
  const decoder = new TextDecoder();
  let pending = '';
  try {
    for await (const chunk of stream) {
      pending += decoder.decode(chunk as Buffer, { stream: true }).replaceAll('\r\n', '\n');
      const blocks = pending.split('\n\n');
      pending = blocks.pop() ?? '';
      if (pending.length > MAX_EVENT_CHARS) {
        throw new TransportError('too-large', `event exceeds ${MAX_EVENT_CHARS} characters`);
      }
      yield* blocks.filter((block) => block !== '').map(parseBlock);
    }
  } catch (cause) {
    throw cause instanceof TransportError
      ? cause
      : new TransportError('connection-lost', 'event stream broke', { cause });
  }
}
