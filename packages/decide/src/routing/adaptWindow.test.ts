import assert from 'node:assert/strict';
import { test } from 'node:test';
import adaptWindow from './adaptWindow.js';

const HOSTS = 9;

test('hosts that follow the same report do not overfill the server together', () => {
  const report = { running: 8, queued: 0, tokensPerSecond: 800, reportedAtMs: 0 };
  const extra = adaptWindow(report, { ownAtReport: 0, slots: 16, hosts: HOSTS });
  assert.ok(extra * HOSTS <= 2 * (16 - 8) + HOSTS);
});

test('a queue at the server takes back part of the window of each host', () => {
  const report = { running: 16, queued: 18, tokensPerSecond: 1_600, reportedAtMs: 0 };
  assert.ok(adaptWindow(report, { ownAtReport: 4, slots: 16, hosts: HOSTS }) < 4);
});

test('a host always keeps one attempt, because reports are older than short attempts', () => {
  const report = { running: 16, queued: 200, tokensPerSecond: 1_600, reportedAtMs: 0 };
  assert.equal(adaptWindow(report, { ownAtReport: 1, slots: 16, hosts: HOSTS }), 1);
});
