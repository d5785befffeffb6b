import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import decideEntry from './decideEntry.js';
import planPipeline, { type RegionPools } from './planPipeline.js';
import type { PipelineNeed, StagePoolState } from './types.js';

const SPEC = {
  parallelCalls: 1,
  queuedCalls: 2,
  maxPieces: 12,
  callMs: 200,
  pieceMs: 14,
  resultMemoryBytes: 1.8e6,
  keepResultMs: 4_000,
};
const findPool = (): StagePoolState => ({ spec: SPEC, speed: 2, pieceMs: new Map() });

const createRegion = (region: string, loads: Readonly<Record<string, number>>): RegionPools => ({
  region,
  findPool,
  loadMs: (pool) => loads[pool] ?? 0,
});

/** Stages in sequence with the given result sizes, which affect their regions. */
const createNeed = (bytes: readonly number[]): PipelineNeed => ({
  requestId: 'r',
  value: 1,
  stages: bytes.map((resultBytes, stage) => ({
    pool: `p${stage}`,
    after: stage === 0 ? [] : [stage - 1],
    pieces: 4,
    kind: 'k',
    resultBytes,
  })),
  dueAtMs: 2_000,
  deadlineAtMs: 8_000,
  arrivedAtMs: 0,
});

const plan = (need: PipelineNeed, home: RegionPools, others: readonly RegionPools[]) =>
  planPipeline(need, { nowMs: 0, home, others, answerMs: 100 });

const SMALL = [8_000, 8_000, 8_000];

test('keeps all stages in the home region when another region gains nothing', () => {
  assert.deepEqual(plan(createNeed(SMALL), createRegion('a', {}), [createRegion('b', {})]).regions, ['a', 'a', 'a']);
});

test('moves only the stage whose pool is busy, and the answer begins earlier', () => {
  const busy = createRegion('a', { p1: 1_500 });
  const need = createNeed(SMALL);
  const shared = plan(need, busy, [createRegion('b', {})]);
  assert.deepEqual(shared.regions, ['a', 'b', 'a']);
  assert.ok(shared.endAtMs < plan(need, busy, []).endAtMs - 400);
});

test('keeps a stage with large results in the home region, because the link between regions is narrow', () => {
  const busy = createRegion('a', { p2: 1_500 });
  assert.deepEqual(plan(createNeed([8_000, 8_000, 1_500_000]), busy, [createRegion('b', {})]).regions, ['a', 'a', 'a']);
});

test('runs a stage in the region of its large inputs, and the next one in the home region', () => {
  const busy = createRegion('a', { p0: 3_000 });
  assert.deepEqual(plan(createNeed([500_000, 8_000, 8_000]), busy, [createRegion('b', {})]).regions, ['b', 'b', 'a']);
});

test('does not move a stage to a region without servers of its pool', () => {
  const other = { ...createRegion('b', {}), findPool: () => undefined };
  assert.deepEqual(plan(createNeed(SMALL), createRegion('a', { p1: 9_000 }), [other]).regions, ['a', 'a', 'a']);
});

/** Time that the two servers of a pool need for one stage of a request when calls are full. */
const STAGE_MS = (4 * (SPEC.callMs / SPEC.maxPieces + SPEC.pieceMs)) / 2;

/** Counts the requests admitted as on time in two regions with equal pools; `a` gets twice as many as `b`. */
const countOnTime = (seed: number, isShared: boolean): number => {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  /** Time at which a pool of a region has finished the admitted work. */
  const freeAtMs = new Map<string, number>();
  let onTime = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += random() * 2 * (STAGE_MS / 2)) {
    const arrivedAtMs = nowMs;
    const describe = (region: string) => ({
      region,
      findPool,
      loadMs: (pool: string) => Math.max(0, (freeAtMs.get(`${region} ${pool}`) ?? 0) - arrivedAtMs),
    });
    const [home, other] = random() < 2 / 3 ? ['a', 'b'] : ['b', 'a'];
    const need = { ...createNeed(SMALL), arrivedAtMs, dueAtMs: nowMs + 2_000, deadlineAtMs: nowMs + 8_000 };
    const decision = decideEntry(need, {
      nowMs,
      home: describe(home),
      others: isShared ? [describe(other)] : [],
      answerMs: 100,
    });
    if (decision.type === 'on-time') {
      onTime += 1;
      decision.regions.forEach((region, stage) => {
        const key = `${region} p${stage}`;
        freeAtMs.set(key, Math.max(nowMs, freeAtMs.get(key) ?? 0) + STAGE_MS);
      });
    }
  }
  return onTime;
};

[1, 2, 3, 5, 8].forEach((seed) => {
  test(`regions that share stage pools admit at least 10% more requests on time than separate ones, seed ${seed}`, () => {
    const [shared, alone] = [countOnTime(seed, true), countOnTime(seed, false)];
    assert.ok(shared >= alone * 1.1, `${shared} beside ${alone}`);
  });
});
