import assert from 'node:assert/strict';
import { test } from 'node:test';
import startOnFreePort from './startOnFreePort.js';

const taken = (): Error => Object.assign(new Error('bind EADDRINUSE'), { code: 'EADDRINUSE' });

/** Ports 7001, 7002 and so on; those given are taken for UDP. */
const createSteps = (port: number, takenPorts: readonly number[], failure = taken) => {
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

test('a chosen port that is taken for UDP is given back for another one, so that a start does not fail by chance', async () => {
  const steps = createSteps(0, [7_001, 7_002]);
  assert.equal((await startOnFreePort(steps)).port, 7_003);
  assert.deepEqual(steps.closed, [7_001, 7_002]);
});

test('a port of the settings that is taken, another error and a machine without free ports end the start', async () => {
  await assert.rejects(startOnFreePort(createSteps(7_000, [7_001])), /EADDRINUSE/);
  await assert.rejects(startOnFreePort(createSteps(0, [7_001], () => new Error('no memory'))), /no memory/);
  const full = createSteps(0, [7_001, 7_002, 7_003, 7_004, 7_005]);
  await assert.rejects(startOnFreePort(full), /EADDRINUSE/);
  assert.equal(full.closed.length, 5);
});
