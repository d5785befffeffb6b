import type { IncomingMessage } from 'node:http';
import type CallerExchange from '../callers/CallerExchange.js';
import createEventSplitter from './createEventSplitter.js';

/** How the relay of one server's stream ended. */
export type RelayEnd =
  | { readonly type: 'complete' }
  /** The server broke off; events up to the last id were passed on. */
  | { readonly type: 'broken' }
  /** The server did not go on after the last event that was passed on. */
  | { readonly type: 'wrong-place' };

/** Options of {@link relayStream}. */
export interface RelayOptions {
  /** Last event that the caller already has from another server. */
  readonly afterEventId: string | undefined;
  /** Called with the id of the last event of each part that was passed on. */
  readonly onEvents: (lastEventId: string | undefined) => void;
}

const isNextEvent = (eventId: string | undefined, afterEventId: string | undefined): boolean =>
  afterEventId === undefined || Number(eventId) === Number(afterEventId) + 1;

/**
 * Passes the events of a server on to the caller as they arrive.
 *
 * @param response - stream of the server, with nothing read yet
 * @param exchange - caller, whose answer has begun
 * @param options - where the stream goes on
 * @returns how it ended
 */
export default function relayStream(
  response: IncomingMessage,
  exchange: CallerExchange,
  options: RelayOptions,
): Promise<RelayEnd> {
  const splitter = createEventSplitter();
  let begun = false;
  return new Promise((resolve) => {
    if (response.destroyed) {
      // It broke before it could be read, and tells so no more.
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
      options.onEvents(lastEventId);
      if (!exchange.write(bytes)) {
        response.pause();
        exchange.onDrain(() => response.resume());
      }
    });
    response.on('end', () => {
      if (response.complete) {
        const rest = splitter.rest();
        if (rest.length > 0) {
          exchange.write(rest);
        }
        resolve({ type: 'complete' });
      }
    });
    response.on('error', () => resolve({ type: 'broken' }));
    response.on('close', () => resolve({ type: 'broken' }));
  });
}
