import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createManualClock } from '@bergamotcove/clock';
import type CallerExchange from './CallerExchange.js';
import createCallerServer from './createCallerServer.js';

// Guards against pipelined requests that run and get no answer because the one before them breaks off.
test('a pipelined request begins when the answers before it are sent, and never after its caller has left', async () => {
  const exchanges: CallerExchange[] = [];
  const left: number[] = [];
  const server = await createCallerServer({
    address: '127.0.0.1',
    port: 0,
    clock: createManualClock(),
    onRequest: (exchange) => {
      const nth = exchanges.push(exchange);
      exchange.onDisconnect(() => left.push(nth));
    },
    onRefused: () => undefined,
    onNotAdmitted: () => undefined,
    onWait: () => undefined,
    onError: () => undefined,
  });
  const caller = net.connect(server.port, '127.0.0.1');
  caller.write('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(3));
  await wait(50);
  const begun = [exchanges.length];
  exchanges[0]?.refuse({ status: 503, reason: 'overloaded' });
  await wait(50);
  begun.push(exchanges.length);
  const closed = once(exchanges[1]?.request.socket as net.Socket, 'close');
  caller.destroy();
  await closed;
  await wait(50);
  begun.push(exchanges.length);
  const open = exchanges.map(({ isOpen }) => isOpen);
  const openRequests = server.openRequests();
  server.close();
  assert.deepEqual([begun, open, left, openRequests], [[1, 2, 2], [false, false], [2], 0]);
});
