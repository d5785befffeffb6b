import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CLEARING_RUNS, CRASH_MERGE_MS, RUN_LEAD_MS, RUN_MEMORY_MS } from './constants.js';
import noteCrash from './noteCrash.js';
import type { Charge, CrashEvent, PoisonState } from './types.js';

const EMPTY: PoisonState = { crashes: [], blocks: new Map() };
const START_MS = 100_000;

/** Charges of the last of several crashes of different servers. */
const chargeLast = (crashes: readonly (Omit<CrashEvent, 'type' | 'serverId'> & { readonly atMs: number })[]) =>
  crashes.reduce<{ readonly state: PoisonState; readonly charges: readonly Charge[] }>(
    ({ state }, { atMs, ...facts }, index) =>
      noteCrash(state, { type: 'crash', serverId: `s${index}`, ...facts }, START_MS + atMs),
    { state: EMPTY, charges: [] },
  ).charges;

test('one answer clears the only request that two crashes have in common', () => {
  const charges = chargeLast([
    { atMs: 0, fingerprints: ['f', 'g'] },
    { atMs: 500, fingerprints: ['f', 'h'] },
  ]);
  const sinceMs = START_MS + 500 - RUN_MEMORY_MS;
  assert.deepEqual(charges, [{ fingerprint: 'f', isSpread: false, sinceMs, clearingRuns: 1 }]);
});

test('answers from shortly before the first of the latest crashes clear a request of crashes after one another', () => {
  const at = (atMs: number) => ({ atMs, fingerprints: ['f'], doubtful: ['f'] });
  const charges = chargeLast([at(0), at(8_000), at(9_000), at(9_000 + CRASH_MERGE_MS)]);
  const sinceMs = START_MS + 8_000 - RUN_LEAD_MS;
  assert.deepEqual(charges, [{ fingerprint: 'f', isSpread: true, sinceMs, clearingRuns: CLEARING_RUNS }]);
});

test('requests that were answered last are charged after three crashes that are not all of one moment', () => {
  const at = (atMs: number) => ({ atMs, fingerprints: [], answered: ['f'] });
  assert.deepEqual(chargeLast([at(0), at(100), at(200)]), []);
  assert.deepEqual(
    chargeLast([at(0), at(100), at(CRASH_MERGE_MS)]).map(({ fingerprint }) => fingerprint),
    ['f'],
  );
});

test('requests that were answered last do not hide the only one that two crashes have in common', () => {
  const charges = chargeLast([
    { atMs: 0, fingerprints: ['f'], answered: ['popular'] },
    { atMs: 500, fingerprints: ['f'], answered: ['popular'] },
  ]);
  assert.deepEqual(
    charges.map(({ fingerprint }) => fingerprint),
    ['f'],
  );
});
