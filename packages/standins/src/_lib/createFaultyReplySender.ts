import type { ServerResponse } from 'node:http';
import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import type { ServerControls } from './startFaultyServer.js';
import wait from './wait.js';

/**
 * Applies the active faults to a response body. Returns the body to send, or undefined when a fault has already sent
 * the response or ended the request without one.
 */
export type FaultyReplySender = (body: object, exchange: HttpExchange) => Promise<object | undefined>;

/** Longest time that a swapped response waits for a second one. */
const SWAP_WAIT_MS = 300;

const formatRawResponse = (body: object): string => {
  const text = JSON.stringify(body);
  const length = Buffer.byteLength(text);
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n${text}`;
};

/** Writes the response twice on one connection, as a faulty proxy or server does. */
const sendTwice = (body: object, response: ServerResponse): void => {
  const raw = formatRawResponse(body);
  response.socket?.write(raw + raw);
};

/** Swaps the bodies of two responses; without a second response the body is sent unchanged after `SWAP_WAIT_MS`. */
const createSwap = (clock: Clock) => {
  let waiting: { readonly body: object; readonly resolve: (body: object) => void } | undefined;
  return (body: object): Promise<object> => {
    if (waiting !== undefined) {
      const partner = waiting;
      waiting = undefined;
      partner.resolve(body);
      return Promise.resolve(partner.body);
    }
    return new Promise((resolve) => {
      const pending = { body, resolve };
      waiting = pending;
      clock.schedule(SWAP_WAIT_MS, () => {
        if (waiting === pending) {
          waiting = undefined;
          resolve(body);
        }
      });
    });
  };
};

/**
 * Creates the function that applies the faults that act after the execution to non-streaming responses.
 *
 * @param clock - clock for delayed and swapped responses
 * @param controls - active faults
 * @returns function that applies the faults to one response
 */
export default function createFaultyReplySender(clock: Clock, controls: ServerControls): FaultyReplySender {
  const { faults } = controls;
  const swap = createSwap(clock);
  return async (body, { request, response }) => {
    const crash = faults.take('crash-after');
    if (crash !== undefined) {
      controls.crash(crash.delayMs);
      return undefined;
    }
    if (faults.take('reset-after') !== undefined) {
      request.socket.resetAndDestroy();
      return undefined;
    }
    if (faults.take('reply-lost') !== undefined) {
      return undefined;
    }
    const late = faults.take('late');
    if (late !== undefined) {
      await wait(clock, late.delayMs);
    }
    if (faults.take('swapped') !== undefined) {
      return swap(body);
    }
    if (faults.take('duplicate') !== undefined) {
      sendTwice(body, response);
      return undefined;
    }
    return body;
  };
}
