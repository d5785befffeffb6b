import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createSizeAverages from './createSizeAverages.js';
import rankRequest from './rankRequest.js';
import valueRequest from './valueRequest.js';

const MEAN = { sizeTokens: 1_000, meanSizeTokens: 1_000 };

test('returns 1 for a request of mean size with the highest ranks', () => {
  assert.equal(valueRequest({ routePriority: 0, organisationPriority: undefined, ...MEAN }), 1);
});

test('weights the rank of the organisation over that of the route, and both over the size', () => {
  const rank = fc.integer({ min: 0, max: 2 });
  const size = fc.integer({ min: 1, max: 100_000 });
  fc.assert(
    fc.property(rank, rank, size, rank, size, (organisation, route, sizeTokens, otherRoute, otherSize) => {
      const higher = valueRequest({
        routePriority: route,
        organisationPriority: organisation,
        sizeTokens,
        meanSizeTokens: 1_000,
      });
      const lower = valueRequest({
        routePriority: otherRoute,
        organisationPriority: organisation + 1,
        sizeTokens: otherSize,
        meanSizeTokens: 1_000,
      });
      // A small request of a lower route may be valued like a large request of a higher route of the next organisation.
      return route > otherRoute || higher > lower;
    }),
  );
});

test('values larger requests of a route more, up to a limit', () => {
  const valueOf = (sizeTokens: number): number =>
    valueRequest({ routePriority: 0, organisationPriority: undefined, sizeTokens, meanSizeTokens: 1_000 });
  assert.ok(valueOf(500) < valueOf(1_000) && valueOf(1_000) < valueOf(3_000));
  assert.equal(valueOf(1e9), 4);
});

test('ranks by the organisation first, then by the route', () => {
  assert.ok(rankRequest(2, 0) < rankRequest(0, 1));
  assert.ok(rankRequest(0, 1) < rankRequest(1, 1));
  assert.equal(rankRequest(1, undefined), 4);
});

test('average sizes follow a change of the traffic', () => {
  const averages = createSizeAverages();
  assert.equal(averages.note('r', 100), 100);
  assert.equal(averages.note('r', 300), 200);
  assert.equal(averages.note('other', 7), 7);
  let mean = 0;
  for (let count = 0; count < 400; count += 1) {
    mean = averages.note('r', 1_000);
  }
  assert.ok(Math.abs(mean - 1_000) < 10);
});
