import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HostStatusAnswer } from '../hosts/schemas.js';
import findLimitingStage from './findLimitingStage.js';

const makeHost = (pools?: HostStatusAnswer['pools']): HostStatusAnswer => ({
  hostId: 'a',
  failureDomain: 'd1',
  region: 'r1',
  ready: true,
  draining: false,
  inFlight: 0,
  entryHosts: [],
  services: [
    {
      service: 'clerk',
      version: 1,
      stages: [
        { stage: 'encode', pool: 'encoders' },
        { stage: 'generate', pool: 'engines' },
      ],
    },
  ],
  ...(pools === undefined ? {} : { pools }),
});

const makePool = (pool: string, running: number, waiting = 0) => ({ pool, servers: 4, running, slots: 64, waiting });

test('the pool with the highest load limits the service, and one more server adds its share of the pool', () => {
  const found = findLimitingStage('clerk', [makeHost([makePool('encoders', 10), makePool('engines', 60, 3)])]);
  assert.equal(found?.stage, 'generate');
  assert.equal(found?.waiting, 3);
  assert.equal(found?.gainFromOneServer, 0.25);
});

test('the gain is limited by the capacity of the next stage, so that no servers are added without effect', () => {
  const found = findLimitingStage('clerk', [makeHost([makePool('encoders', 60), makePool('engines', 63)])]);
  assert.equal(found?.stage, 'generate');
  assert.ok(Math.abs((found?.gainFromOneServer ?? 0) - 0.05) < 1e-9);
});

test('no stage limits while pools have free capacity, or when hosts of an older version report no pools', () => {
  assert.equal(findLimitingStage('clerk', [makeHost([makePool('encoders', 10), makePool('engines', 20)])]), undefined);
  assert.equal(findLimitingStage('clerk', [makeHost()]), undefined);
});
