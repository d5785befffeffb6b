import assert from 'node:assert/strict';
import { test } from 'node:test';
import createPoolTracker from './createPoolTracker.js';
import limitDemotions from './limitDemotions.js';
import type { ServerDescription } from './types.js';

const SERVERS: readonly ServerDescription[] = ['s1', 's2', 's3', 's4', 's5', 's6'].map((serverId) => ({
  serverId,
  address: '127.0.0.1',
  port: 1,
  pool: 'p',
  failureDomain: 'a',
  region: 'r',
  state: 'live',
}));

const noteSpeeds = (tracker: ReturnType<typeof createPoolTracker>, speeds: readonly number[], nowMs: number): void => {
  speeds.forEach((msPerToken, index) => {
    const serverId = SERVERS[index]?.serverId ?? '';
    tracker.note(serverId, { type: 'progress', tokens: 10, elapsedMs: msPerToken * 10 }, nowMs);
  });
};

const demotedAt = (tracker: ReturnType<typeof createPoolTracker>, nowMs: number): readonly string[] => [
  ...limitDemotions(tracker.view('p', SERVERS, nowMs).servers),
];

test('a server that becomes 5 times slower is demoted within 1 s', () => {
  const tracker = createPoolTracker();
  noteSpeeds(tracker, [10, 10, 10, 10, 10, 10], 0);
  [250, 500, 750].forEach((nowMs) => noteSpeeds(tracker, [50, 10, 10, 10, 10, 10], nowMs));
  assert.deepEqual(demotedAt(tracker, 1_000), ['s1']);
});

test('at most a third of a pool is demoted, the slowest first', () => {
  const tracker = createPoolTracker();
  noteSpeeds(tracker, [90, 80, 70, 10, 10, 10], 0);
  noteSpeeds(tracker, [90, 80, 70, 10, 10, 10], 100);
  assert.deepEqual(demotedAt(tracker, 200), ['s1', 's2']);
});

test('the own attempts at the time of a load report are subtracted from it; later ones are counted exactly', () => {
  const tracker = createPoolTracker();
  const sent = { type: 'sent', tokens: 10, long: false } as const;
  tracker.note('s1', sent, 100);
  tracker.note('s1', sent, 200);
  tracker.note('s1', sent, 400);
  const report = { running: 6, queued: 0, tokensPerSecond: 500, reportedAtMs: 300 };
  tracker.noteReport('s1', report, { hosts: 3, nowMs: 600 });
  assert.equal(tracker.stats('s1').othersOutstanding, 4);
  assert.equal(tracker.stats('s1').outstanding, 3);
});

test('a server that load reports show at full speed again is no longer demoted', () => {
  const tracker = createPoolTracker();
  noteSpeeds(tracker, [50, 10, 10, 10, 10, 10], 0);
  assert.deepEqual(demotedAt(tracker, 100), ['s1']);
  [1_000, 1_500, 2_000, 2_500, 3_000].forEach((reportedAtMs) => {
    const report = { running: 4, queued: 0, tokensPerSecond: 400, reportedAtMs };
    tracker.noteReport('s1', report, { hosts: 3, nowMs: reportedAtMs + 300 });
  });
  assert.deepEqual(demotedAt(tracker, 3_400), []);
});

test('after many attempts the history of own attempts still covers the time of a recent report', () => {
  const tracker = createPoolTracker();
  const sent = { type: 'sent', tokens: 1, long: false } as const;
  const done = { type: 'done', tokensLeft: 0, long: false } as const;
  for (let nowMs = 0; nowMs < 60_000; nowMs += 5) {
    tracker.note('s1', nowMs % 1_000 < 500 ? sent : done, nowMs);
  }
  // 100 attempts are sent in the first half of each second and end in the second half.
  const report = { running: 130, queued: 0, tokensPerSecond: 500 };
  tracker.noteReport('s1', { ...report, reportedAtMs: 59_505 }, { hosts: 3, nowMs: 60_000 });
  assert.ok(Math.abs(tracker.stats('s1').othersOutstanding - 30) <= 2);
});
