import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HELD_LOSS_WINDOW_MS, LAST_ANSWERS_MS, LOSS_WINDOW_MS } from './constants.js';
import createLossBook, { type LossBook, type ProcessEnd, type ServerProcess } from './createLossBook.js';

const PROCESS: ServerProcess = { serverId: 's1', startId: '1' };

const createBook = (isListStale = false): LossBook => createLossBook({ isListStale: () => isListStale });

test('a server that refuses connections has ended under all attempts that it ran or that have lost it', () => {
  const book = createBook();
  const [lost, running] = ['f', 'g'].map((fingerprint) => book.begin(PROCESS, [fingerprint]));
  const answered = book.begin(PROCESS, ['h']);
  book.noteAnswered(answered, 0);
  assert.ok(lost !== undefined && running !== undefined);
  book.noteAnswering(running);
  assert.equal(book.noteLost(lost, 'reset', 100), undefined);
  const crash = book.noteRefused(lost, 110);
  assert.deepEqual(crash, { ...PROCESS, atMs: 100, fingerprints: ['f', 'g'], doubtful: ['g'], answered: ['h'] });
});

test('a silent attempt counts when the entry of its server goes within the window, and not later', () => {
  const countAfter = (elapsedMs: number): number => {
    const book = createBook();
    book.noteLost(book.begin(PROCESS, ['f']), 'silent', 0);
    return book.noteEnded(PROCESS, 'removed', elapsedMs)?.fingerprints.length ?? 0;
  };
  assert.deepEqual([countAfter(LOSS_WINDOW_MS - 1), countAfter(LOSS_WINDOW_MS)], [1, 0]);
});

test('an attempt on a silent server may have met the fault of the server', () => {
  const book = createBook();
  const [lost, running] = ['f', 'g'].map((fingerprint) => book.begin(PROCESS, [fingerprint]));
  assert.ok(lost !== undefined && running !== undefined);
  book.noteLost(lost, 'silent', 0);
  assert.deepEqual(book.noteEnded(PROCESS, 'removed', 10)?.doubtful, ['f', 'g']);
});

test('an attempt that is given up after the entry of its server has gone counts', () => {
  const book = createBook();
  const attempt = book.begin(PROCESS, ['f']);
  assert.equal(book.noteEnded(PROCESS, 'removed', 50), undefined);
  assert.deepEqual(book.noteLost(attempt, 'abandoned', 900)?.fingerprints, ['f']);
});

test('what answers after a loss may be the next process under the id, so that the loss counts, but in doubt', () => {
  const endAfter = (elapsedMs: number) => {
    const book = createBook(true);
    book.noteLost(book.begin(PROCESS, ['f']), 'reset', 0);
    book.noteAnswered(book.begin(PROCESS, ['g']), 50);
    return book.noteEnded(PROCESS, 'removed', elapsedMs);
  };
  assert.deepEqual([endAfter(100)?.fingerprints, endAfter(100)?.doubtful], [['f'], ['f']]);
  assert.equal(endAfter(LOSS_WINDOW_MS), undefined);
});

test('a loss while the list of servers stands still counts when the list goes on', () => {
  const countAfter = (elapsedMs: number): number => {
    const book = createBook(true);
    book.noteLost(book.begin(PROCESS, ['f']), 'silent', 0);
    return book.noteEnded(PROCESS, 'removed', elapsedMs)?.fingerprints.length ?? 0;
  };
  assert.deepEqual([countAfter(HELD_LOSS_WINDOW_MS - 1), countAfter(HELD_LOSS_WINDOW_MS)], [1, 0]);
});

test('a server that refuses connections has ended under what it answered last', () => {
  const book = createBook();
  book.noteAnswered(book.begin(PROCESS, ['early']), 0);
  book.noteAnswered(book.begin(PROCESS, ['last']), LAST_ANSWERS_MS + 1);
  const crash = book.noteUnreachable(book.begin(PROCESS, ['next']), LAST_ANSWERS_MS + 500);
  assert.deepEqual([crash?.atMs, crash?.fingerprints, crash?.answered], [LAST_ANSWERS_MS + 1, [], ['last']]);
});

test('a server that refuses connections and was not heard of lately has ended under nothing', () => {
  const book = createBook();
  book.noteAnswered(book.begin(PROCESS, ['f']), 0);
  assert.equal(book.noteUnreachable(book.begin(PROCESS, ['g']), LOSS_WINDOW_MS), undefined);
});

test('another process under the id of a server tells that it ended after its last answer, a missing entry does not', () => {
  const endWith = (end: ProcessEnd) => {
    const book = createBook();
    book.noteAnswered(book.begin(PROCESS, ['f']), 0);
    return book.noteEnded(PROCESS, end, 100)?.answered;
  };
  assert.deepEqual((['replaced', 'removed', 'left'] as const).map(endWith), [['f'], undefined, undefined]);
});

test('a server that leaves has not crashed, whether it says so or not', () => {
  const announced = createBook();
  announced.noteLost(announced.begin(PROCESS, ['f']), 'reset', 0);
  assert.equal(announced.noteEnded(PROCESS, 'left', 10), undefined);
  const unannounced = createBook();
  const cut = unannounced.begin(PROCESS, ['f']);
  unannounced.noteEnded(PROCESS, 'removed', 10);
  assert.equal(unannounced.noteLost(cut, 'reset', 20), undefined);
});

test('another process under the id or address of a server tells that it has ended', () => {
  const book = createBook();
  book.noteLost(book.begin(PROCESS, ['f']), 'reset', 0);
  assert.deepEqual(book.noteEnded(PROCESS, 'replaced', 10)?.fingerprints, ['f']);
});

test('a caller that leaves in the middle of an answer says nothing of the server', () => {
  const book = createBook();
  const attempt = book.begin(PROCESS, ['f']);
  book.noteAnswering(attempt);
  book.noteLost(attempt, 'abandoned', 0);
  assert.equal(book.noteEnded(PROCESS, 'removed', 10), undefined);
});

test('a server that is back under its id before the list tells it ends anew', () => {
  const book = createBook();
  const crashAt = (nowMs: number) => book.noteRefused(book.begin(PROCESS, ['f']), nowMs);
  assert.deepEqual(
    [0, 5_000].map((nowMs) => crashAt(nowMs)).map(({ startId, atMs }) => [startId, atMs]),
    [
      ['1', 0],
      ['1+1', 5_000],
    ],
  );
});

test('attempts that notice a crash later report it with its time', () => {
  const book = createBook();
  const [first, second] = ['f', 'g'].map((fingerprint) => book.begin(PROCESS, [fingerprint]));
  assert.ok(first !== undefined && second !== undefined);
  book.noteRefused(first, 100);
  const late = book.noteLost(second, 'silent', 3_000);
  assert.deepEqual([late?.atMs, late?.fingerprints], [100, ['g']]);
});

test('a request is in no doubt when one of its attempts is in none', () => {
  const book = createBook();
  const [lost, answering] = ['f', 'f'].map((fingerprint) => book.begin(PROCESS, [fingerprint]));
  assert.ok(lost !== undefined && answering !== undefined);
  book.noteAnswering(answering);
  const { fingerprints, doubtful } = book.noteRefused(lost, 10);
  assert.deepEqual([fingerprints, doubtful], [['f'], []]);
});
