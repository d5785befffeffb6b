import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo, type Server } from 'node:net';
import { test } from 'node:test';
import listenOnPort from './listenOnPort.js';

const ADDRESS = '127.0.0.1';

const withHeldPort = async (run: (port: number, server: Server) => Promise<void>): Promise<void> => {
  const holder = net.createServer().listen(0, ADDRESS);
  const server = net.createServer();
  await once(holder, 'listening');
  try {
    await run((holder.address() as AddressInfo).port, server);
  } finally {
    holder.close();
    server.close();
  }
};

const watchPort = () => {
  const waits: string[] = [];
  const errors: (readonly [string, number])[] = [];
  return {
    waits,
    errors,
    watch: {
      onWait: ({ message }: Error) => waits.push(message),
      onError: ({ message }: Error, port: number) => errors.push([message, port]),
    },
  };
};

test('a port that stays held fails the start after the limit, with one call about the wait', () =>
  withHeldPort(async (port, server) => {
    const { waits, watch } = watchPort();
    const started = listenOnPort(server, { ...watch, address: ADDRESS, port, limitMs: 300 });
    await assert.rejects(started, { code: 'EADDRINUSE' });
    assert.equal(waits.length, 1);
  }));

test('an address that the machine does not have yet is waited for', async () => {
  const { waits, watch } = watchPort();
  const started = listenOnPort(net.createServer(), { ...watch, address: '192.0.2.1', port: 0, limitMs: 100 });
  await assert.rejects(started, { code: 'EADDRNOTAVAIL' });
  assert.equal(waits.length, 1);
});

test('the next port of a range is used without a wait', () =>
  withHeldPort(async (port, server) => {
    const { waits, watch } = watchPort();
    const used = await listenOnPort(server, { ...watch, address: ADDRESS, port, lastPort: port + 20 });
    assert.ok(used > port && used <= port + 20);
    assert.deepEqual(waits, []);
  }));

test('a server that waited for its port reports each later error once and listens on', async () => {
  const { errors, watch } = watchPort();
  await withHeldPort(async (port, server) => {
    const used = await listenOnPort(server, { ...watch, address: ADDRESS, port, lastPort: port + 20 });
    server.emit('error', new Error('accept ENFILE'));
    server.emit('error', new Error('accept ENOBUFS'));
    assert.deepEqual(errors, [
      ['accept ENFILE', used],
      ['accept ENOBUFS', used],
    ]);
    assert.ok(server.listening);
  });
});
