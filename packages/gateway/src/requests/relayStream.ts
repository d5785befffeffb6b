import type { IncomingMessage } from 'node:http';
import type CallerExchange from '../callers/CallerExchange.js';
import createEventSplitter from './createEventSplitter.js';

/** How the relay of a server's stream ended. */
export type RelayEnd =
  | { readonly type: 'complete' }
  /** The connection broke, or the stream ended inside an event; the complete events before were relayed. */
  | { readonly type: 'broken' }
  /** The stream did not continue with the event after the last one that was relayed. */
  | { readonly type: 'wrong-place' };

/** Options of {@link relayStream}. */
export interface RelayOptions {
  /** Id of the last event that the caller already has from another server; undefined at the start of a stream. */
  readonly afterEventId: string | undefined;
  /** Called before each batch of events is relayed, with the id of its last event. */
  readonly onEvents: (lastEventId: string | undefined) => void;
}

const isNextEvent = (eventId: string | undefined, afterEventId: string | undefined): boolean =>
  afterEventId === undefined || Number(eventId) === Number(afterEventId) + 1;

const isEventStream = ({ headers }: IncomingMessage): boolean =>
  /^text\/event-stream\b/i.test(headers['content-type'] ?? '');

/**
 * Ends the relay with the bytes after the last event. In a stream of events, bytes other than line ends start an event
 * that never ended; an answer without events is passed on as it is.
 */
const relayRest = (rest: Buffer, exchange: CallerExchange, hasEvents: boolean): RelayEnd => {
  if (hasEvents && !/^[\r\n]*$/.test(rest.toString('latin1'))) {
    return { type: 'broken' };
  }
  if (rest.length > 0) {
    exchange.write(rest);
  }
  return { type: 'complete' };
};

/**
 * Relays the events of a server's stream to the caller as they arrive.
 *
 * @param response - stream of the server, not read yet
 * @param exchange - exchange with the caller, with the head of the answer sent
 * @param options - position in the stream and progress callback
 * @returns how the relay ended
 */
export default function relayStream(
  response: IncomingMessage,
  exchange: CallerExchange,
  options: RelayOptions,
): Promise<RelayEnd> {
  const splitter = createEventSplitter();
  let begun = false;
  let hasEvents = options.afterEventId !== undefined;
  return new Promise((resolve) => {
    if (response.destroyed) {
      // The connection broke before the listeners were attached, so no event would follow.
      resolve({ type: 'broken' });
      return;
    }
    response.on('data', (chunk: Buffer) => {
      const batch = splitter.push(chunk);
      if (batch === undefined) {
        response.destroy();
        return;
      }
      const { bytes, firstEventId, lastEventId } = batch;
      if (bytes === undefined || exchange.closed) {
        return;
      }
      if (!begun && !isNextEvent(firstEventId, options.afterEventId)) {
        resolve({ type: 'wrong-place' });
        response.destroy();
        return;
      }
      begun = true;
      hasEvents = true;
      options.onEvents(lastEventId);
      if (!exchange.write(bytes)) {
        response.pause();
        exchange.onDrain(() => response.resume());
      }
    });
    response.on('end', () => {
      if (response.complete) {
        resolve(relayRest(splitter.rest(), exchange, hasEvents || isEventStream(response)));
      }
    });
    response.on('error', () => resolve({ type: 'broken' }));
    response.on('close', () => resolve({ type: 'broken' }));
  });
}
