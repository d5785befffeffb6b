import assert from 'node:assert/strict';
import { test } from 'node:test';
import runLimitModel from './runLimitModel.js';
import type { LimitModel } from './types.js';

const MODEL: LimitModel = {
  seed: 1,
  hosts: 8,
  regions: 2,
  servers: 8,
  limitedServers: 2,
  requestsPerSecond: 30,
  limitPerSecond: 1,
  lengthMs: 24_000,
  restartEveryMs: Infinity,
  ownerKillEveryMs: Infinity,
};

/** Most requests that a server may get in 4 s from hosts that know its limit. */
const allowInSpan = (limitPerSecond: number): number => 6 * limitPerSecond + 5;

[1, 2, 3].forEach((seed) =>
  [
    { restartEveryMs: 1_500 },
    { ownerKillEveryMs: 4_000 },
    { limitPerSecond: 5.5, requestsPerSecond: 120, ownerKillEveryMs: 4_000, restartEveryMs: 1_500 },
    { limitPerSecond: 0 },
  ].forEach((changes) =>
    test(`eight hosts that restart keep a limit, seed ${seed}: ${JSON.stringify(changes)}`, async () => {
      const model = { ...MODEL, ...changes, seed };
      const { peak } = await runLimitModel(model);
      assert.ok(peak <= allowInSpan(model.limitPerSecond), `${peak} in 4 s`);
    }),
  ),
);

test('a hundred hosts keep a limit and use most of it, with few messages', async () => {
  const fleet = { hosts: 100, servers: 100, limitedServers: 12, requestsPerSecond: 300, lengthMs: 14_000 };
  const result = await runLimitModel({ ...MODEL, ...fleet, restartEveryMs: 2_000 });
  assert.ok(result.peak <= allowInSpan(1), `${result.peak} in 4 s`);
  assert.ok(result.usedShare > 0.7, `${result.usedShare} of the limits used`);
  assert.equal(result.refused, 0);
  assert.ok(result.messagesPerSecond < 2 * fleet.hosts, `${result.messagesPerSecond} messages a second`);
});

test('when all servers have limits, the limits are used and most callers that come back as told are served', async () => {
  const fleet = { limitedServers: 8, limitPerSecond: 2 };
  const result = await runLimitModel({ ...MODEL, ...fleet });
  assert.ok(result.peak <= allowInSpan(2), `${result.peak} in 4 s`);
  assert.ok(result.usedShare > 0.8, `${result.usedShare} of the limits used`);
  assert.ok(result.returned > 20);
  assert.ok(result.servedOnReturn > 0.9 * result.returned, `${result.servedOnReturn} of ${result.returned} served`);
});
