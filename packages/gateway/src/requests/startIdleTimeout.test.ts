import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import startIdleTimeout from './startIdleTimeout.js';

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('looks for a successor when the limit has passed since the last byte, and goes on until it is abandoned', async () => {
  const clock = createManualClock();
  let searches = 0;
  const onSilent = async (): Promise<void> => {
    searches += 1;
  };
  const timeout = startIdleTimeout({ clock, limitMs: 400, onSilent });
  clock.advance(300);
  timeout.restart(1_000);
  clock.advance(900);
  assert.equal(searches, 0);
  clock.advance(200);
  assert.equal(searches, 1);
  assert.equal(timeout.signal.aborted, false);
  timeout.abandon();
  assert.equal(timeout.signal.aborted, true);
  await settle();
  clock.advance(5_000);
  assert.equal(searches, 1);
});

test('looks again after a search without a result, while the server is silent', async () => {
  const clock = createManualClock();
  let searches = 0;
  const onSilent = (): Promise<void> => {
    searches += 1;
    return searches === 1 ? Promise.resolve() : Promise.reject(new Error('no server'));
  };
  const timeout = startIdleTimeout({ clock, limitMs: 400, onSilent });
  for (let step = 0; step < 4; step += 1) {
    clock.advance(500);
    // Each search ends before the next step.
    await settle();
  }
  assert.ok(searches >= 3, `${searches} searches`);
  assert.equal(timeout.signal.aborted, false);
});

test('ends the search when the server sends data again', async () => {
  const clock = createManualClock();
  const silences: AbortSignal[] = [];
  const onSilent = (silence: AbortSignal): Promise<void> => {
    silences.push(silence);
    return new Promise<void>(() => {
      // The search goes on.
    });
  };
  const timeout = startIdleTimeout({ clock, limitMs: 400, onSilent });
  clock.advance(500);
  assert.equal(silences[0]?.aborted, false);
  timeout.restart(400);
  assert.equal(silences[0]?.aborted, true);
  clock.advance(500);
  assert.equal(silences.length, 2);
  assert.equal(silences[1]?.aborted, false);
  timeout.close();
  assert.equal(silences[1]?.aborted, true);
});

test('never looks for a successor of an attempt that must not be repeated', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: undefined, onSilent: () => assert.fail('not asked') });
  timeout.restart(100);
  clock.advance(5_000);
  assert.equal(timeout.signal.aborted, false);
});

test('does not look for a successor after it was closed', () => {
  const clock = createManualClock();
  const timeout = startIdleTimeout({ clock, limitMs: 400, onSilent: () => assert.fail('not asked') });
  timeout.close();
  clock.advance(5_000);
  assert.equal(timeout.signal.aborted, false);
});
