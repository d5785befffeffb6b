import type { ServerResponse } from 'node:http';
import type { Clock } from '@bergamotcove/clock';
import type { HttpExchange } from '@bergamotcove/transport';
import type { ServerControls } from './startFaultyServer.js';
import wait from './wait.js';

/** Sends an answer, or what the active faults make of it. Returns undefined when nothing more is to be sent. */
export type FaultyReply = (body: object, exchange: HttpExchange) => Promise<object | undefined>;

/** Longest wait of a swapped answer for its partner. */
const SWAP_WAIT_MS = 300;

const formatRawResponse = (body: object): string => {
  const text = JSON.stringify(body);
  const length = Buffer.byteLength(text);
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n${text}`;
};

/** Writes the answer twice on one connection, as a broken intermediary or server does. */
const sendTwice = (body: object, response: ServerResponse): void => {
  const raw = formatRawResponse(body);
  response.socket?.write(raw + raw);
};

/** Exchanges the bodies of two answers; a body without a partner is sent unchanged after a wait. */
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
      const mine = { body, resolve };
      waiting = mine;
      clock.schedule(SWAP_WAIT_MS, () => {
        if (waiting === mine) {
          waiting = undefined;
          resolve(body);
        }
      });
    });
  };
};

/**
 * Creates the sender of whole answers.
 *
 * @param clock - for late answers
 * @param controls - active faults
 * @returns the sender
 */
export default function createFaultyReply(clock: Clock, controls: ServerControls): FaultyReply {
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
