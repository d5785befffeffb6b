import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock, createSystemClock } from '@bergamotcove/clock';
import fc from 'fast-check';
import createDatagramSocket from '../datagrams/createDatagramSocket.js';
import createHttpClient from '../createHttpClient.js';
import createHttpServer from '../createHttpServer.js';
import TransportError from '../TransportError.js';
import createPeerAuth from './createPeerAuth.js';
import createPeerClient from './createPeerClient.js';
import createPeerServer from './createPeerServer.js';
import { REPLAY_WINDOW_MS } from './createReplayGuard.js';

const FIRST = { id: 'k1', secret: 'first-secret-of-peers' };
const SECOND = { id: 'k2', secret: 'second-secret-of-peers' };
const AUDIENCE = '10.0.0.1:7000';
const bytes = new Uint8Array([1, 2, 3]);

const createPair = () => {
  const clock = createManualClock(1_700_000_000_000);
  const sender = createPeerAuth({ clock, keys: [FIRST] });
  const receiver = createPeerAuth({ clock, keys: [SECOND, FIRST] });
  return { clock, sender, receiver };
};

test('a datagram is accepted once, within the window and by its audience only, so that a recorded one cannot be replayed', () => {
  const { clock, sender, receiver } = createPair();
  const sealed = sender.sealDatagram(bytes, AUDIENCE);
  assert.throws(() => receiver.openDatagram(sealed, '10.0.0.2:7000'), { code: 'unauthenticated' });
  assert.deepEqual([...receiver.openDatagram(sealed, AUDIENCE)], [1, 2, 3]);
  assert.throws(() => receiver.openDatagram(sealed, AUDIENCE), /replayed/);
  const late = sender.sealDatagram(bytes, AUDIENCE);
  clock.advance(REPLAY_WINDOW_MS + 1);
  assert.throws(() => receiver.openDatagram(late, AUDIENCE), /stale/);
  assert.throws(() => receiver.openDatagram(sealed, AUDIENCE), { code: 'unauthenticated' });
});

test('a step of the wall clock does not make the peers of a running host reject its messages', () => {
  const { clock, sender, receiver } = createPair();
  clock.stepWall(-3_600_000);
  assert.equal(receiver.openDatagram(sender.sealDatagram(bytes, AUDIENCE), AUDIENCE).length, 3);
});

test('keys are rotated in steps without a rejected message: accept the new key, sign with it, remove the old one', () => {
  const { sender, receiver } = createPair();
  const exchange = (): void => {
    assert.equal(receiver.openDatagram(sender.sealDatagram(bytes, AUDIENCE), AUDIENCE).length, 3);
  };
  exchange();
  sender.setKeys([SECOND, FIRST]);
  exchange();
  receiver.setKeys([SECOND]);
  exchange();
  sender.setKeys([FIRST]);
  assert.throws(exchange, { code: 'unauthenticated' });
});

test('arbitrary bytes and any changed byte are rejected with a transport error, so that no datagram can crash a host', () => {
  const { sender, receiver } = createPair();
  const sealed = sender.sealDatagram(bytes, AUDIENCE);
  const expectRefusal = (datagram: Uint8Array): void =>
    assert.throws(
      () => receiver.openDatagram(datagram, AUDIENCE),
      (cause) => cause instanceof TransportError,
    );
  fc.assert(fc.property(fc.uint8Array({ maxLength: 1_400 }), expectRefusal));
  fc.assert(
    fc.property(fc.nat(sealed.length - 1), fc.integer({ min: 1, max: 255 }), (at, change) => {
      const changed = Uint8Array.from(sealed);
      changed[at] = (sealed[at] as number) ^ change; // eslint-disable-line no-bitwise
      expectRefusal(changed);
    }),
  );
});

const startServer = async () => {
  const clock = createSystemClock();
  const auth = createPeerAuth({ clock, keys: [FIRST] });
  const server = createPeerServer({ auth });
  server.register('claims.query', () => ({ found: true }));
  server.register('operator.status', () => ({ ready: true }));
  const onError = (): void => undefined;
  const listener = await createHttpServer((exchange) => server.handle(exchange), {
    address: '127.0.0.1',
    port: 0,
    onError,
  });
  const http = createHttpClient();
  const call = (method: string, options: Parameters<typeof createPeerClient>[1]) =>
    createPeerClient(http, options).call(
      { address: '127.0.0.1', port: listener.port },
      method,
      {},
      { timeoutMs: 2_000 },
    );
  const close = async (): Promise<void> => {
    http.close();
    await listener.close();
  };
  return { auth, clock, call, close };
};

test('a peer call needs a valid key and an operator call over loopback does not', async () => {
  const { clock, call, close } = await startServer();
  const signed = { auth: createPeerAuth({ clock, keys: [FIRST] }) };
  const wrong = { auth: createPeerAuth({ clock, keys: [{ ...FIRST, secret: 'another-secret-of-peers' }] }) };
  assert.deepEqual(await call('claims.query', signed), { found: true });
  assert.deepEqual(await call('operator.status', {}), { ready: true });
  await assert.rejects(call('claims.query', {}), { code: 'unauthenticated' });
  await assert.rejects(call('claims.query', wrong), { code: 'unauthenticated' });
  await close();
});

test('an answer with an invalid signature is rejected, so that a caller does not trust a forged outcome', async () => {
  const { auth, clock, call, close } = await startServer();
  const signed = createPeerAuth({ clock, keys: [FIRST] });
  const forged = { ...auth, signAnswer: () => '00'.repeat(16) };
  const server = createPeerServer({ auth: forged });
  server.register('claims.query', () => ({ found: false }));
  const listener = await createHttpServer((exchange) => server.handle(exchange), {
    address: '127.0.0.1',
    port: 0,
    onError: () => undefined,
  });
  const http = createHttpClient();
  const target = { address: '127.0.0.1', port: listener.port };
  const client = createPeerClient(http, { auth: signed });
  await assert.rejects(client.call(target, 'claims.query', {}, { timeoutMs: 2_000 }), { code: 'unauthenticated' });
  http.close();
  await listener.close();
  assert.deepEqual(await call('claims.query', { auth: signed }), { found: true });
  await close();
});

test('sockets exchange signed datagrams and drop unsigned ones', async () => {
  const clock = createSystemClock();
  const auth = createPeerAuth({ clock, keys: [FIRST] });
  const stranger = createPeerAuth({ clock, keys: [SECOND] });
  const refused: Error[] = [];
  let resolveReceived: (sizeBytes: number) => void = () => undefined;
  const received = new Promise<number>((resolve) => {
    resolveReceived = resolve;
  });
  const listenOptions = { address: '127.0.0.1', port: 0 };
  const target = await createDatagramSocket({
    ...listenOptions,
    auth,
    onMessage: (message) => resolveReceived(message.length),
    onRefused: (error) => refused.push(error),
  });
  const other = await createDatagramSocket({ ...listenOptions, auth: stranger, onMessage: () => undefined });
  const peer = await createDatagramSocket({ ...listenOptions, auth, onMessage: () => undefined });
  other.send({ address: '127.0.0.1', port: target.port }, bytes);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  peer.send({ address: '127.0.0.1', port: target.port }, bytes);
  assert.equal(await received, 3);
  assert.equal(refused.length, 1);
  [target, other, peer].forEach((socket) => socket.close());
});

test('a call that was never sent fails with not-connected, so that the caller may use another host', async () => {
  const http = createHttpClient();
  const closed = { address: '127.0.0.1', port: 1 };
  await assert.rejects(createPeerClient(http).call(closed, 'claims.append', {}, { timeoutMs: 1_000 }), {
    code: 'not-connected',
  });
  http.close();
});
