import assert from 'node:assert/strict';
import { test } from 'node:test';
import { STALE_LIST_LOSS_WINDOW_MS, LAST_ANSWERS_WINDOW_MS, LOSS_WINDOW_MS } from './constants.js';
import createCrashDetector, { type CrashDetector } from './createCrashDetector.js';
import type { ProcessEnd, ServerProcess } from './processTypes.js';

const PROCESS: ServerProcess = { serverId: 's1', startId: '1' };

const createDetector = (isListStale = false): CrashDetector => createCrashDetector({ isListStale: () => isListStale });

test('the crash of a server that refuses connections includes its running, lost and last answered attempts', () => {
  const detector = createDetector();
  const [lost, running] = ['f', 'g'].map((fingerprint) => detector.begin(PROCESS, [fingerprint]));
  const answered = detector.begin(PROCESS, ['h']);
  detector.noteAnswered(answered, 0);
  assert.ok(lost !== undefined && running !== undefined);
  detector.noteAnswering(running);
  assert.equal(detector.noteLost(lost, 'reset', 100), undefined);
  const crash = detector.noteRefused(lost, 110);
  assert.deepEqual(crash, { ...PROCESS, atMs: 100, fingerprints: ['f', 'g'], doubtful: ['g'], answered: ['h'] });
});

test('an attempt without a response counts when its server leaves the list within the window, not later', () => {
  const countAfter = (elapsedMs: number): number => {
    const detector = createDetector();
    detector.noteLost(detector.begin(PROCESS, ['f']), 'silent', 0);
    return detector.noteEnded(PROCESS, 'removed', elapsedMs)?.fingerprints.length ?? 0;
  };
  assert.deepEqual([countAfter(LOSS_WINDOW_MS - 1), countAfter(LOSS_WINDOW_MS)], [1, 0]);
});

test('all attempts on a server that stopped responding are doubtful', () => {
  const detector = createDetector();
  const [lost, running] = ['f', 'g'].map((fingerprint) => detector.begin(PROCESS, [fingerprint]));
  assert.ok(lost !== undefined && running !== undefined);
  detector.noteLost(lost, 'silent', 0);
  assert.deepEqual(detector.noteEnded(PROCESS, 'removed', 10)?.doubtful, ['f', 'g']);
});

test('an attempt that is abandoned after its server has left the list counts', () => {
  const detector = createDetector();
  const attempt = detector.begin(PROCESS, ['f']);
  assert.equal(detector.noteEnded(PROCESS, 'removed', 50), undefined);
  assert.deepEqual(detector.noteLost(attempt, 'abandoned', 900)?.fingerprints, ['f']);
});

test('an answer after a loss may come from the next process with the id, so the loss counts as doubtful', () => {
  const endAfter = (elapsedMs: number) => {
    const detector = createDetector(true);
    detector.noteLost(detector.begin(PROCESS, ['f']), 'reset', 0);
    detector.noteAnswered(detector.begin(PROCESS, ['g']), 50);
    return detector.noteEnded(PROCESS, 'removed', elapsedMs);
  };
  assert.deepEqual([endAfter(100)?.fingerprints, endAfter(100)?.doubtful], [['f'], ['f']]);
  assert.equal(endAfter(LOSS_WINDOW_MS), undefined);
});

test('a loss while the list of servers is stale counts when the list is updated again within the longer window', () => {
  const countAfter = (elapsedMs: number): number => {
    const detector = createDetector(true);
    detector.noteLost(detector.begin(PROCESS, ['f']), 'silent', 0);
    return detector.noteEnded(PROCESS, 'removed', elapsedMs)?.fingerprints.length ?? 0;
  };
  assert.deepEqual([countAfter(STALE_LIST_LOSS_WINDOW_MS - 1), countAfter(STALE_LIST_LOSS_WINDOW_MS)], [1, 0]);
});

test('the crash of a server that refuses connections includes the requests that it answered last', () => {
  const detector = createDetector();
  detector.noteAnswered(detector.begin(PROCESS, ['early']), 0);
  detector.noteAnswered(detector.begin(PROCESS, ['last']), LAST_ANSWERS_WINDOW_MS + 1);
  const crash = detector.noteUnreachable(detector.begin(PROCESS, ['next']), LAST_ANSWERS_WINDOW_MS + 500);
  assert.deepEqual([crash?.atMs, crash?.fingerprints, crash?.answered], [LAST_ANSWERS_WINDOW_MS + 1, [], ['last']]);
});

test('a server that refuses connections without recent attempts yields no crash', () => {
  const detector = createDetector();
  detector.noteAnswered(detector.begin(PROCESS, ['f']), 0);
  assert.equal(detector.noteUnreachable(detector.begin(PROCESS, ['g']), LOSS_WINDOW_MS), undefined);
});

test('a crash after the last answer follows from a replaced process, not from a removed entry or an announced leave', () => {
  const endWith = (end: ProcessEnd) => {
    const detector = createDetector();
    detector.noteAnswered(detector.begin(PROCESS, ['f']), 0);
    return detector.noteEnded(PROCESS, end, 100)?.answered;
  };
  assert.deepEqual((['replaced', 'removed', 'left'] as const).map(endWith), [['f'], undefined, undefined]);
});

test('a server that leaves has not crashed, whether it announces that or not', () => {
  const announced = createDetector();
  announced.noteLost(announced.begin(PROCESS, ['f']), 'reset', 0);
  assert.equal(announced.noteEnded(PROCESS, 'left', 10), undefined);
  const unannounced = createDetector();
  const cut = unannounced.begin(PROCESS, ['f']);
  unannounced.noteEnded(PROCESS, 'removed', 10);
  assert.equal(unannounced.noteLost(cut, 'reset', 20), undefined);
});

test('another process under the id or address of a server shows that the server has ended', () => {
  const detector = createDetector();
  detector.noteLost(detector.begin(PROCESS, ['f']), 'reset', 0);
  assert.deepEqual(detector.noteEnded(PROCESS, 'replaced', 10)?.fingerprints, ['f']);
});

test('an attempt that its caller abandons in the middle of the answer does not count as a loss', () => {
  const detector = createDetector();
  const attempt = detector.begin(PROCESS, ['f']);
  detector.noteAnswering(attempt);
  detector.noteLost(attempt, 'abandoned', 0);
  assert.equal(detector.noteEnded(PROCESS, 'removed', 10), undefined);
});

test('a server that restarts under its id before the list shows it can crash again', () => {
  const detector = createDetector();
  const crashAt = (nowMs: number) => detector.noteRefused(detector.begin(PROCESS, ['f']), nowMs);
  assert.deepEqual(
    [0, 5_000].map((nowMs) => crashAt(nowMs)).map(({ startId, atMs }) => [startId, atMs]),
    [
      ['1', 0],
      ['1+1', 5_000],
    ],
  );
});

test('an attempt that detects a crash later reports the time of the crash', () => {
  const detector = createDetector();
  const [first, second] = ['f', 'g'].map((fingerprint) => detector.begin(PROCESS, [fingerprint]));
  assert.ok(first !== undefined && second !== undefined);
  detector.noteRefused(first, 100);
  const late = detector.noteLost(second, 'silent', 3_000);
  assert.deepEqual([late?.atMs, late?.fingerprints], [100, ['g']]);
});

test('a request is not doubtful when one of its attempts is not doubtful', () => {
  const detector = createDetector();
  const [lost, answering] = ['f', 'f'].map((fingerprint) => detector.begin(PROCESS, [fingerprint]));
  assert.ok(lost !== undefined && answering !== undefined);
  detector.noteAnswering(answering);
  const { fingerprints, doubtful } = detector.noteRefused(lost, 10);
  assert.deepEqual([fingerprints, doubtful], [['f'], []]);
});
