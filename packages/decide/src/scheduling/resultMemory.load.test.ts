import assert from 'node:assert/strict';
import { test } from 'node:test';
import simulateStages, { type SimulatedKind, type SimulatedRequest } from '../testing/simulateStages.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 40,
  callMs: 200,
  pieceMs: 3,
  resultMemoryBytes: 60 * 8_000,
  keepResultMs: 4_000,
};
const RESULT_BYTES = [8_000, 8_000, 8_000];
const RATE_PER_S = 14;
const [BURST_FROM_MS, BURST_TO_MS] = [8_000, 16_000];
/** Two bursts of one kind at once. */
const BURST_FACTOR = 2.5 * 2.6;

const KINDS: readonly SimulatedKind[] = [
  {
    kind: 'burst',
    ratePerS: (atMs) => RATE_PER_S * (atMs > BURST_FROM_MS && atMs < BURST_TO_MS ? BURST_FACTOR : 1),
    value: 1,
    minPieces: 2,
    maxPieces: 10,
    resultBytes: RESULT_BYTES,
    pools: ['shared', 'next'],
  },
  {
    kind: 'other',
    ratePerS: () => RATE_PER_S,
    value: 1,
    minPieces: 2,
    maxPieces: 10,
    resultBytes: RESULT_BYTES,
    pools: ['shared', 'last'],
  },
  {
    kind: 'large',
    ratePerS: () => RATE_PER_S,
    value: 1,
    minPieces: 8,
    maxPieces: 24,
    resultBytes: RESULT_BYTES,
    pools: ['first', 'shared', 'last'],
  },
];

/** Plays the bursts while a third of the pool that all kinds share is gone. */
const playBursts = (seed: number, countsRoom: boolean, results = 60): readonly SimulatedRequest[] => {
  const spec = { ...SPEC, resultMemoryBytes: results * 8_000 };
  const { requests } = simulateStages({
    seed,
    durationMs: BURST_TO_MS + 2_000,
    latencyMs: 2,
    sizeError: 0.1,
    knowsSizes: true,
    freesOnAnswer: true,
    countsRoom,
    pools: {
      first: { spec, servers: 6 },
      shared: { spec, servers: 6 },
      next: { spec, servers: 4 },
      last: { spec, servers: 6 },
    },
    kinds: KINDS,
    changes: [
      { atMs: BURST_FROM_MS, pool: 'shared', servers: 4 },
      { atMs: BURST_TO_MS, pool: 'shared', servers: 6 },
    ],
  });
  return requests.filter(({ arrivedAtMs }) => arrivedAtMs > BURST_FROM_MS && arrivedAtMs < BURST_TO_MS);
};

const readShare = (requests: readonly SimulatedRequest[], kind: string, outcome: string, minPieces = 0): number => {
  const ofKind = requests.filter((request) => request.kind === kind && request.pieces >= minPieces);
  return ofKind.filter((request) => request.outcome === outcome).length / ofKind.length;
};

[1, 2, 3].forEach((seed) => {
  const before = playBursts(seed, false);
  const after = playBursts(seed, true);
  const describe = (requests: readonly SimulatedRequest[]): string =>
    ['burst', 'other', 'large']
      .flatMap((kind) =>
        ['on-time', 'refused'].map((outcome) => `${kind} ${outcome} ${readShare(requests, kind, outcome).toFixed(2)}`),
      )
      .concat(`largest ${readShare(requests, 'large', 'on-time', 20).toFixed(2)}`)
      .join(', ');

  test(`two bursts of one kind on a reduced pool refuse that kind and no other one, seed ${seed}`, (context) => {
    context.diagnostic(`before: ${describe(before)}`);
    context.diagnostic(`after: ${describe(after)}`);
    assert.ok(readShare(after, 'other', 'refused') < 0.02, describe(after));
    assert.ok(readShare(after, 'other', 'on-time') > 0.85, describe(after));
    assert.ok(readShare(after, 'other', 'on-time') > readShare(before, 'other', 'on-time') + 0.1, describe(before));
    assert.ok(readShare(after, 'burst', 'refused') > 0.2, describe(after));
  });

  test(`neither the burst nor the largest requests of another kind starve, seed ${seed}`, () => {
    assert.ok(readShare(after, 'burst', 'on-time') > 0.25, describe(after));
    assert.ok(readShare(after, 'large', 'refused') < 0.15, describe(after));
    assert.ok(readShare(after, 'large', 'on-time', 20) >= readShare(before, 'large', 'on-time', 20), describe(before));
    assert.ok(readShare(after, 'large', 'on-time') > readShare(before, 'large', 'on-time') + 0.1, describe(before));
  });
});

test('memory that does not bind before the time changes no outcome of the same load', () => {
  assert.deepEqual(playBursts(1, true, 176), playBursts(1, false, 176));
});
