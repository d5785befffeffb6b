import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import advancePoison from './advancePoison.js';
import findCrashingParts, { type PartVerdicts } from './findCrashingParts.js';
import listPartSuspects from './listPartSuspects.js';
import noteCrash from './noteCrash.js';
import type { PartEvidence, PoisonState } from './types.js';

const POOL = 'engines';
const NONE: PoisonState = { crashes: [], blocks: new Map() };

/** A crash of a server of its own, with the parts of the prompts on it by request. */
interface Told {
  readonly atMs: number;
  readonly prompts: Readonly<Record<string, readonly string[]>>;
}

const record = (told: readonly Told[], before = NONE): PoisonState =>
  told.reduce((state, { atMs, prompts }, index) => {
    const event = {
      type: 'crash',
      serverId: `s${index}`,
      pool: POOL,
      fingerprints: Object.keys(prompts),
      prompts: Object.entries(prompts).map(([fingerprint, parts]) => ({ fingerprint, parts })),
    } as const;
    return noteCrash(state, event, atMs).state;
  }, before);

const judge = (state: PoisonState, evidence: Partial<PartEvidence> = {}): PartVerdicts => {
  const nowMs = Math.max(...state.crashes.map(({ atMs }) => atMs));
  const { crashes, parts } = listPartSuspects(state, POOL, nowMs);
  return findCrashingParts(crashes, parts, {
    lastOutputAtMs: () => undefined,
    countOutputs: (fromMs, toMs) => (toMs - fromMs) / 20,
    ...evidence,
  });
};

const listBlamed = (verdicts: PartVerdicts): readonly string[] => verdicts.blamed.map(({ part }) => part);

/** Crashes under a part `dead`, each with a bystander. */
const CRASHES: readonly Told[] = [
  { atMs: 1_000, prompts: { r1: ['a1', 'b1', 'dead'], r2: ['a1', 'b2'] } },
  { atMs: 2_000, prompts: { r1: ['a1', 'b1', 'dead'], r3: ['a2', 'b3'] } },
  { atMs: 4_000, prompts: { r4: ['a1', 'b2', 'dead'], r5: ['a2', 'b1'] } },
];

const seenAt =
  (parts: readonly string[], atMs: number): PartEvidence['lastOutputAtMs'] =>
  (part) =>
    parts.includes(part) ? atMs : undefined;

test('a part that was in crashes of different requests without output since is blamed alone', () => {
  const verdicts = judge(record(CRASHES), { lastOutputAtMs: seenAt(['a1', 'a2', 'b1', 'b2'], 3_900) });
  assert.deepEqual(listBlamed(verdicts), ['dead']);
});

test('of parts that were in the same crashes only the most specific one is blamed', () => {
  assert.deepEqual(listBlamed(judge(record(CRASHES))), ['dead']);
});

test('the first part is blamed when the parts after it differ', () => {
  const told = [1_000, 2_000, 4_000].map((atMs, index) => ({
    atMs,
    prompts: { [`r${index}`]: ['dead', `b${index}`] },
  }));
  assert.deepEqual(listBlamed(judge(record(told), { lastOutputAtMs: seenAt(['dead'], 900) })), ['dead']);
});

test('two parts that crash servers in turn are both blamed', () => {
  const told = [1_000, 2_000, 3_000, 4_000, 5_000, 6_000].map((atMs, index) => ({
    atMs,
    prompts: { [`r${index}`]: ['a1', `dead${index % 2}`] },
  }));
  const verdicts = judge(record(told), { lastOutputAtMs: seenAt(['a1'], 5_900) });
  assert.deepEqual([...listBlamed(verdicts)].sort(), ['dead0', 'dead1']);
});

test('repeats of one request blame no part', () => {
  const told = CRASHES.map(({ atMs }) => ({ atMs, prompts: { r1: ['a1', 'dead'] } }));
  assert.deepEqual(listBlamed(judge(record(told))), []);
});

test('no part is blamed while no other prompt gets output', () => {
  assert.deepEqual(listBlamed(judge(record(CRASHES), { countOutputs: () => 0 })), []);
});

test('crashes that a blocked part explains lead to no suspicion of requests or other parts', () => {
  const block = { type: 'block', fingerprint: 'dead', remainingMs: 60_000 } as const;
  const state = record(CRASHES, advancePoison(NONE, block, 0).state);
  assert.deepEqual(listPartSuspects(state, POOL, 4_000).parts, []);
  const again = { type: 'crash', serverId: 's9', pool: POOL, fingerprints: ['r2'] } as const;
  assert.deepEqual(noteCrash(state, again, 5_000).suspects, []);
});

test('the release of a part removes the crashes that it explains', () => {
  const { state } = advancePoison(record(CRASHES), { type: 'release', fingerprint: 'dead' }, 5_000);
  assert.deepEqual(state.crashes, []);
});

const prompts = fc.dictionary(
  fc.constantFrom('r1', 'r2', 'r3', 'r4', 'r5'),
  fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { minLength: 1 }),
  { minKeys: 1, noNullPrototype: true },
);
const stories = fc.array(fc.record({ atMs: fc.nat(20_000), prompts }), { minLength: 1, maxLength: 12 });
const ascending = (told: readonly Told[]): readonly Told[] => [...told].sort((one, other) => one.atMs - other.atMs);

test('a part with output after the crashes, or whose crashes are of one moment, is never blamed', () => {
  fc.assert(
    fc.property(stories, fc.subarray(['a', 'b', 'c', 'd']), (told, sound) => {
      const verdicts = judge(record(ascending(told)), { lastOutputAtMs: seenAt(sound, 20_000) });
      assert.ok(listBlamed(verdicts).every((part) => !sound.includes(part)));
    }),
  );
  fc.assert(
    fc.property(stories, (told) => {
      const outage = told.map((crash, index) => ({ ...crash, atMs: 1_000 + index }));
      assert.deepEqual(listBlamed(judge(record(outage))), []);
    }),
  );
});

test('a part is blamed only when it was in several crashes of different requests', () => {
  fc.assert(
    fc.property(stories, (told) => {
      judge(record(ascending(told))).blamed.forEach(({ crashes, requests, chance }) => {
        assert.ok(crashes >= 2 && requests >= 2 && chance > 0 && chance < 1);
      });
    }),
  );
});
