import assert from 'node:assert/strict';
import { test } from 'node:test';
import createSettingsHolder from './createSettingsHolder.js';
import parseGatewaySettings from './settings.js';
import SAMPLE_SETTINGS from './testing/sampleSettings.js';

const SETTINGS = parseGatewaySettings(SAMPLE_SETTINGS);

test('applies retry limits, the grace period and regions without a restart', () => {
  const holder = createSettingsHolder(SETTINGS);
  const changed = {
    ...SETTINGS,
    host: { ...SETTINGS.host, regions: { a: 'r1', b: 'r2' } },
    retries: { ...SETTINGS.retries, slack: 5 },
    stop: { graceMs: 4_000 },
  };
  assert.deepEqual(holder.apply(changed), []);
  assert.equal(holder.current().retries.slack, 5);
  assert.equal(holder.current().stop.graceMs, 4_000);
});

test('returns the names of settings that need a restart, until they are as at the start', () => {
  const holder = createSettingsHolder(SETTINGS);
  const changed = {
    ...SETTINGS,
    callers: { address: '10.0.0.1', port: 8_080 },
    store: { address: '10.0.0.8', port: 90 },
  };
  assert.deepEqual(holder.apply(changed), ['callers', 'store']);
  assert.deepEqual(holder.apply(SETTINGS), []);
});
