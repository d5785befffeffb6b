import assert from 'node:assert/strict';
import { test } from 'node:test';
import rankByRendezvous from '../membership/rankByRendezvous.js';
import rankByCapacity, { type DutyCandidate } from './rankByCapacity.js';

const createHosts = (count: number, capacity: number, prefix: string): readonly DutyCandidate[] =>
  Array.from({ length: count }, (_, index) => ({ hostId: `${prefix}${index}`, capacity }));

const DUTIES = Array.from({ length: 300 }, (_, index) => `duty-${index}`);

/** A region with few large hosts and many small ones, as at the largest site. */
const REGION = [...createHosts(9, 1.35, 'large-'), ...createHosts(88, 0.2, 'small-')];

test('in a region with many small hosts, nearly all duties are spread evenly over the large hosts', () => {
  const owners = DUTIES.map((duty) => rankByCapacity(REGION, duty)[0]?.hostId ?? '');
  const counts = new Map<string, number>();
  owners.forEach((owner) => counts.set(owner, (counts.get(owner) ?? 0) + 1));
  const small = owners.filter((owner) => owner.startsWith('small-')).length;
  assert.ok(small <= DUTIES.length * 0.02, `${small} duties at small hosts`);
  assert.ok(Math.max(...counts.values()) < (2 * DUTIES.length) / 9, `${Math.max(...counts.values())} at one host`);
});

test('the loss of a host moves only the duties of that host', () => {
  const lostHostId = 'large-3';
  const remaining = REGION.filter(({ hostId }) => hostId !== lostHostId);
  DUTIES.forEach((duty) => {
    const before = rankByCapacity(REGION, duty).filter(({ hostId }) => hostId !== lostHostId);
    assert.deepEqual(rankByCapacity(remaining, duty), before);
  });
});

test('hosts of equal capacity are ordered as by unweighted rendezvous hashing', () => {
  const equal = createHosts(9, 0.675, 'host-');
  const ids = equal.map(({ hostId }) => hostId);
  DUTIES.forEach((duty) =>
    assert.deepEqual(
      rankByCapacity(equal, duty).map(({ hostId }) => hostId),
      rankByRendezvous(ids, duty),
    ),
  );
});
