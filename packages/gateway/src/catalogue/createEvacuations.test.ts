import assert from 'node:assert/strict';
import { test } from 'node:test';
import createEvacuations from './createEvacuations.js';

const createFixture = () => {
  const events: string[] = [];
  const ended: string[] = [];
  const logger = { event: (name: string) => events.push(name) };
  const evacuations = createEvacuations({ logger, regions: () => ({ a: 'r1', b: 'r2' }) });
  evacuations.onChange((domains) => ended.push(...domains));
  return { evacuations, events, ended };
};

const at = (revision: number, era = 0) => ({ era, revision });

// Guards against an evacuation that comes back, or ends, because a host with older knowledge reports it.
test('older knowledge of another host changes nothing', () => {
  const { evacuations, ended } = createFixture();
  evacuations.put('a', at(5));
  evacuations.replace({ domains: [], ...at(4) });
  evacuations.remove('a', at(4));
  assert.equal(evacuations.has('a'), true);
  evacuations.remove('a', at(6));
  evacuations.replace({ domains: ['a'], ...at(5) });
  assert.deepEqual([evacuations.has('a'), ended], [false, ['a']]);
});

test('two domains that change in one transaction are both evacuated', () => {
  const { evacuations } = createFixture();
  evacuations.put('a', at(5));
  evacuations.put('b', at(5));
  assert.deepEqual(evacuations.snapshot(), { domains: ['a', 'b'], ...at(5) });
});

// The store's copy decides after a restore, also where its revisions are lower.
test('a snapshot of a later era replaces the evacuations', () => {
  const { evacuations, ended } = createFixture();
  evacuations.put('a', at(50));
  evacuations.replace({ domains: ['b'], ...at(3, 1) });
  assert.deepEqual([evacuations.snapshot().domains, ended], [['b'], ['a']]);
  evacuations.put('a', at(60));
  assert.equal(evacuations.has('a'), false);
});

test('a domain that does not exist is logged and does not disturb the others', () => {
  const { evacuations, events } = createFixture();
  evacuations.put('elsewhere', at(1));
  evacuations.put('a', at(2));
  assert.deepEqual([events, evacuations.has('a')], [['evacuationUnknown', 'evacuationBegun'], true]);
});
