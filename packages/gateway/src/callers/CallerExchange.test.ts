import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type CallerExchange from './CallerExchange.js';
import createCallerServer from './createCallerServer.js';

// Guards against pipelined requests that are forwarded, or hold up the stop of the host, after their caller has left.
test('every request of a connection ends when its caller leaves, also those behind an earlier answer', async () => {
  const exchanges: CallerExchange[] = [];
  const left: number[] = [];
  const server = await createCallerServer({
    address: '127.0.0.1',
    port: 0,
    clock: createManualClock(),
    onRequest: (exchange) => {
      const nth = exchanges.push(exchange);
      exchange.onDisconnect(() => left.push(nth));
      if (nth === 3) {
        exchange.refuse({ status: 503, reason: 'overloaded' });
      }
    },
    onRefused: () => undefined,
    onNotAdmitted: () => undefined,
    onWait: () => undefined,
    onError: () => undefined,
  });
  const caller = net.connect(server.port, '127.0.0.1');
  caller.write('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(3));
  while (exchanges.length < 3) {
    await new Promise(setImmediate);
  }
  const closed = once(exchanges[0]?.request.socket as net.Socket, 'close');
  caller.destroy();
  await closed;
  await new Promise(setImmediate);
  const open = exchanges.map(({ isOpen }) => isOpen);
  const openRequests = server.openRequests();
  server.close();
  assert.deepEqual([open, left, openRequests], [[false, false, false], [1, 2], 0]);
});
