import assert from 'node:assert/strict';
import { test } from 'node:test';
import startOnFreePort from './startOnFreePort.js';

const createPortTakenError = (): Error => Object.assign(new Error('bind EADDRINUSE'), { code: 'EADDRINUSE' });

/** Creates options whose listener gets the ports 7001, 7002 and so on; `takenPorts` are in use for UDP. */
const createPortOptions = (port: number, takenPorts: readonly number[], failure = createPortTakenError) => {
  const closed: number[] = [];
  let next = 7_000;
  return {
    closed,
    port,
    listen: () => {
      next += 1;
      const own = next;
      const close = (): Promise<void> => {
        closed.push(own);
        return Promise.resolve();
      };
      return Promise.resolve({ port: own, close });
    },
    bind: (bound: number) => (takenPorts.includes(bound) ? Promise.reject(failure()) : Promise.resolve()),
  };
};

test('a port selected by the system that is in use for UDP is released and another one is tried, so that the start succeeds', async () => {
  const options = createPortOptions(0, [7_001, 7_002]);
  assert.equal((await startOnFreePort(options)).port, 7_003);
  assert.deepEqual(options.closed, [7_001, 7_002]);
});

test('the start fails if the port of the settings is in use, on any other error, and after five ports in use', async () => {
  await assert.rejects(startOnFreePort(createPortOptions(7_000, [7_001])), /EADDRINUSE/);
  await assert.rejects(startOnFreePort(createPortOptions(0, [7_001], () => new Error('no memory'))), /no memory/);
  const full = createPortOptions(0, [7_001, 7_002, 7_003, 7_004, 7_005]);
  await assert.rejects(startOnFreePort(full), /EADDRINUSE/);
  assert.equal(full.closed.length, 5);
});
