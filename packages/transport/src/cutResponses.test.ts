import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import createHttpClient from './createHttpClient.js';

const BODY = 'id: 1\ndata: a\n\n';
const formatHead = (...fields: readonly string[]): string =>
  ['HTTP/1.1 200 OK', 'Seal: s', ...fields, '', ''].join('\r\n');
const SIZED = `${formatHead(`Content-Length: ${BODY.length}`)}${BODY}`;

const RESPONSES = {
  'a length': SIZED,
  'chunks and a trailer': `${formatHead('Transfer-Encoding: chunked')}f\r\n${BODY}\r\n0\r\nSum: 1\r\n\r\n`,
  'an informational response before it': `HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n${SIZED}`,
  'the end of the connection as its end': formatHead(),
  'an empty body': formatHead('Content-Length: 0'),
};

/** Answers each first request on a connection whole, and cuts the answer to the next one; its path names the cut. */
const startCuttingServer = async (whole: string): Promise<net.Server> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (request) => {
      const [, end = 'none', bytes = '0'] = /^GET \/(\w+)\/(\d+)/.exec(request.toString('latin1')) ?? [];
      if (end === 'none') {
        socket.write(SIZED);
        return;
      }
      socket.write(whole.slice(0, Number(bytes)));
      setTimeout(() => (end === 'reset' ? socket.resetAndDestroy() : socket.end()), 1);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

Object.entries(RESPONSES).forEach(([name, whole]) =>
  test(`a response with ${name} is never complete when its server stops at an earlier byte`, async () => {
    const server = await startCuttingServer(whole);
    const client = createHttpClient();
    const target = { address: '127.0.0.1', port: (server.address() as AddressInfo).port };
    const send = async (path: string): Promise<string> => {
      // Each response has its own connection, on which one was read before.
      await client.send(target, { method: 'GET', path: '/' });
      return client.send(target, { method: 'GET', path }).then(
        ({ status }) => `${path} ${status}`,
        ({ code }: { readonly code: string }) => code,
      );
    };
    const results = new Set<string>();
    for (const end of ['close', 'reset']) {
      for (let bytes = 0; bytes < whole.length; bytes += 1) {
        results.add(await send(`/${end}/${bytes}`));
      }
    }
    assert.deepEqual([...results], ['connection-lost']);
    assert.equal(await send(`/close/${whole.length}`), `/close/${whole.length} 200`);
    client.close();
    server.close();
  }),
);
