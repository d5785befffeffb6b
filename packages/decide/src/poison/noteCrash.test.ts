import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import createCrashDetector from './createCrashDetector.js';
import { CLEARING_RUNS, CRASH_MERGE_MS, RUN_LOOKBACK_MS, RUN_RETENTION_MS } from './constants.js';
import noteCrash from './noteCrash.js';
import type { PoisonSuspect, CrashEvent, CrashStep, PoisonState } from './types.js';

const EMPTY: PoisonState = { crashes: [], blocks: new Map() };
const START_MS = 100_000;

/** Requests suspected after the last of several crashes of different servers. */
const suspectLast = (crashes: readonly (Omit<CrashEvent, 'type' | 'serverId'> & { readonly atMs: number })[]) =>
  crashes.reduce<{ readonly state: PoisonState; readonly suspects: readonly PoisonSuspect[] }>(
    ({ state }, { atMs, ...facts }, index) =>
      noteCrash(state, { type: 'crash', serverId: `s${index}`, ...facts }, START_MS + atMs),
    { state: EMPTY, suspects: [] },
  ).suspects;

test('one successful run clears the only request that two crashes have in common', () => {
  const suspects = suspectLast([
    { atMs: 0, fingerprints: ['f', 'g'] },
    { atMs: 500, fingerprints: ['f', 'h'] },
  ]);
  const sinceMs = START_MS + 500 - RUN_RETENTION_MS;
  assert.deepEqual(suspects, [{ fingerprint: 'f', isSpread: false, sinceMs, clearingRuns: 1 }]);
});

test('runs from shortly before the first of the latest crashes count when the crashes are spread over time', () => {
  const at = (atMs: number) => ({ atMs, fingerprints: ['f'], doubtful: ['f'] });
  const suspects = suspectLast([at(0), at(8_000), at(9_000), at(9_000 + CRASH_MERGE_MS)]);
  const sinceMs = START_MS + 8_000 - RUN_LOOKBACK_MS;
  assert.deepEqual(suspects, [{ fingerprint: 'f', isSpread: true, sinceMs, clearingRuns: CLEARING_RUNS }]);
});

test('a request that was answered last is suspected after three crashes only if they are spread over time', () => {
  const at = (atMs: number) => ({ atMs, fingerprints: [], answered: ['f'] });
  assert.deepEqual(suspectLast([at(0), at(100), at(200)]), []);
  assert.deepEqual(
    suspectLast([at(0), at(100), at(CRASH_MERGE_MS)]).map(({ fingerprint }) => fingerprint),
    ['f'],
  );
});

test('requests that were answered last do not count as common requests of two crashes', () => {
  const suspects = suspectLast([
    { atMs: 0, fingerprints: ['f'], answered: ['popular'] },
    { atMs: 500, fingerprints: ['f'], answered: ['popular'] },
  ]);
  assert.deepEqual(
    suspects.map(({ fingerprint }) => fingerprint),
    ['f'],
  );
});

test('a request is suspected after its third crash when the list shows each end before the connection breaks', () => {
  const detector = createCrashDetector({ isListStale: () => false });
  const step = ['1', '2', '3'].reduce<CrashStep>(
    ({ state }, startId, index) => {
      const nowMs = START_MS + index * 200;
      const process = { serverId: 's1', startId };
      const [answered, attempt] = [detector.begin(process, ['g']), detector.begin(process, ['f'])];
      detector.noteAnswered(answered, nowMs);
      const told = detector.noteEnded(process, 'replaced', nowMs);
      const lost = detector.noteLost(attempt, 'reset', nowMs + 5);
      return [told, lost].reduce<CrashStep>(
        (before, crash) => (crash === undefined ? before : noteCrash(before.state, { type: 'crash', ...crash }, nowMs)),
        { state, suspects: [] },
      );
    },
    { state: EMPTY, suspects: [] },
  );
  assert.deepEqual(
    step.suspects.map(({ fingerprint }) => fingerprint),
    ['f'],
  );
});

test('a suspected request stays suspected with every further crash report', () => {
  const report = fc.record({
    serverId: fc.constantFrom('s1', 's2', 's3', 's4'),
    startId: fc.constantFrom('1', '2'),
    fingerprints: fc.constant(['f', 'g']),
    doubtful: fc.subarray(['f', 'g']),
    answered: fc.constant([]),
  });
  fc.assert(
    fc.property(fc.array(report, { minLength: 3, maxLength: 12 }), (reports) => {
      let state = EMPTY;
      let wasSuspect = false;
      reports.forEach((each) => {
        const step = noteCrash(state, { type: 'crash', ...each }, START_MS);
        const isSuspect = step.suspects.some(({ fingerprint }) => fingerprint === 'f');
        assert.ok(isSuspect || !wasSuspect);
        state = step.state;
        wasSuspect = isSuspect;
      });
    }),
    { seed: 1, numRuns: 2_000 },
  );
});
