import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { ADDRESS } from '../constants.js';
import findPeerPort from './findPeerPort.js';
import startOnFreePort from './startOnFreePort.js';

const listen = async (port: number): Promise<net.Server> => {
  const server = net.createServer().listen(port, ADDRESS);
  await once(server, 'listening');
  return server;
};

test('tries another port when another process takes the first one after it was found free', async () => {
  const otherServer = await listen(await findPeerPort());
  const { port: takenPort } = otherServer.address() as AddressInfo;
  const candidatePorts = [takenPort, await findPeerPort()];
  const server = await startOnFreePort(() => Promise.resolve(candidatePorts.shift() ?? 0), listen);
  assert.notEqual((server.address() as AddressInfo).port, takenPort);
  server.close();
  otherServer.close();
});

test('rethrows other errors after one try, and gives up after five tries when every port is taken', async () => {
  let starts = 0;
  const fail = (message: string) => () => {
    starts += 1;
    return Promise.reject(new Error(message));
  };
  await assert.rejects(startOnFreePort(findPeerPort, fail('wrong settings')), /wrong settings/);
  assert.equal(starts, 1);
  await assert.rejects(startOnFreePort(findPeerPort, fail('listen EADDRINUSE')), /EADDRINUSE/);
  assert.equal(starts, 6);
});
