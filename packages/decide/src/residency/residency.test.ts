import assert from 'node:assert/strict';
import { test } from 'node:test';
import chooseRegion from './chooseRegion.js';
import findPermittedRegions from './findPermittedRegions.js';
import isPermitted from './isPermitted.js';
import reviewResidency from './reviewResidency.js';

test('the regions of a route and of an organisation restrict a request, both of them when both name some', () => {
  const ANY = { homeRegions: undefined };
  const some = (...homeRegions: string[]) => ({ homeRegions });
  assert.equal(findPermittedRegions(ANY, undefined), undefined);
  assert.equal(findPermittedRegions({}, ANY), undefined);
  assert.deepEqual(findPermittedRegions(some('r1'), ANY), ['r1']);
  assert.deepEqual(findPermittedRegions(ANY, some('r2')), ['r2']);
  assert.deepEqual(findPermittedRegions(some('r1', 'r2'), some('r2', 'r3')), ['r2']);
  assert.deepEqual(findPermittedRegions(some('r1'), some('r2')), []);
});

test('a server whose region is not known may serve only requests without a restriction', () => {
  assert.equal(isPermitted(undefined, undefined), true);
  assert.equal(isPermitted(['r1'], undefined), false);
  assert.equal(isPermitted([], 'r1'), false);
});

test('a restricted request goes to a permitted region with servers, the preferred one first', () => {
  const choose = (regions: readonly string[] | undefined, served: readonly string[]) =>
    chooseRegion({ regions, preferred: 'r1', hasServers: (region) => served.includes(region) });
  assert.equal(choose(undefined, ['r2']), 'r1');
  assert.equal(choose(['r2', 'r1'], ['r1', 'r2']), 'r1');
  assert.equal(choose(['r2', 'r1'], ['r2']), 'r2');
  assert.equal(choose(['r3', 'r2'], ['r1', 'r2']), 'r2');
  assert.equal(choose(['r2'], []), 'r2');
  assert.equal(choose([], ['r1']), undefined);
});

test('routes and organisations that no existing region may serve are found, and pairs that share none', () => {
  const route = (name: string, homeRegions?: readonly string[]) => ({ name, homeRegions });
  const table = {
    routes: [route('free'), route('lost', ['r9']), route('north', ['r1', 'r9'])],
    organisations: [route('any'), route('south', ['r2'])],
  } as unknown as Parameters<typeof reviewResidency>[0];
  assert.deepEqual(reviewResidency(table, ['r1', 'r2']), {
    unknown: ['r9'],
    unserved: ['route lost', 'route north of organisation south'],
  });
});
