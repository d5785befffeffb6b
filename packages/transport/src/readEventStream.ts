import type { Readable } from 'node:stream';
import { toError } from '@bergamotcove/errors';
import readStream from './readStream.js';
import TransportError from './TransportError.js';

/** One server-sent event. */
export interface StreamEvent {
  readonly id?: string;
  readonly event: string;
  readonly data: string;
}

const MAX_EVENT_CHARS = 1_048_576;

/** Line ends of the standard; a carriage return at the end of the text may be the first half of a CRLF pair. */
const LINE_END = /\r\n|\r(?!$)/g;

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
 * Reads a server-sent event stream. An event that is cut off before its blank line is not delivered.
 *
 * @param stream - response body
 * @param onEvent - called with each event in order; if it throws, the stream is destroyed
 * @returns a promise that resolves at the end of the stream
 * @throws TransportError `connection-lost` when the stream breaks, `too-large` for an oversized event; what `onEvent`
 *   threw
 * @example
 * await readEventStream(response, (event) => handle(event.data));
 */
export default function readEventStream(stream: Readable, onEvent: (event: StreamEvent) => void): Promise<void> {
  return new Promise((resolve, reject) => {
    const decoder = new TextDecoder();
    let pending = '';
    const accept = (text: string): void => {
      const blocks = (pending + text).replace(LINE_END, '\n').split('\n\n');
      pending = blocks.pop() ?? '';
      if (pending.length > MAX_EVENT_CHARS) {
        throw new TransportError('too-large', `event exceeds ${MAX_EVENT_CHARS} characters`);
      }
      blocks.filter((block) => block !== '').forEach((block) => onEvent(parseBlock(block)));
    };
    const fail = (cause?: Error): void =>
      reject(new TransportError('connection-lost', 'event stream broke', cause === undefined ? {} : { cause }));
    readStream(stream, {
      onData: (chunk) => {
        try {
          accept(decoder.decode(chunk, { stream: true }));
        } catch (cause) {
          reject(toError(cause));
          stream.destroy();
        }
      },
      onEnd: resolve,
      onBroken: fail,
    });
  });
}
