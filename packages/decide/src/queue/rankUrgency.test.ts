import assert from 'node:assert/strict';
import { test } from 'node:test';
import rankUrgency from './rankUrgency.js';

test('ranks less slack first, and money before drafts of the same slack', () => {
  const base = { enqueuedAtMs: 0, priority: 'draft' } as const;
  assert.ok(rankUrgency({ ...base, latestStartAtMs: 900 }) < rankUrgency({ ...base, latestStartAtMs: 1_500 }));
  const money = rankUrgency({ ...base, latestStartAtMs: 1_000, priority: 'money' });
  assert.ok(money < rankUrgency({ ...base, latestStartAtMs: 1_000 }));
});

test('work with a distant deadline goes before later arrivals after its maximum wait', () => {
  const long = rankUrgency({ latestStartAtMs: 90_000, enqueuedAtMs: 0, priority: 'draft' });
  const later = rankUrgency({ latestStartAtMs: 8_000, enqueuedAtMs: 6_000, priority: 'money' });
  assert.ok(long < later);
});
