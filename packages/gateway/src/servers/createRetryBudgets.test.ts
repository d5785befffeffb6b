import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createRetryBudgets from './createRetryBudgets.js';

const LIMITS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

const exhaustBudget = (budgets: ReturnType<typeof createRetryBudgets>): number => {
  let spent = 0;
  while (budgets.spend('p')) {
    spent += 1;
  }
  return spent;
};

test('all hosts together stay within the limits of the fleet', () => {
  const clock = createManualClock();
  const hosts = Array.from({ length: 9 }, () => createRetryBudgets({ clock, limits: () => LIMITS, hosts: () => 9 }));
  hosts.forEach((budgets) => Array.from({ length: 10 }).forEach(() => budgets.noteRequest('p')));
  const spent = hosts.reduce((sum, budgets) => sum + exhaustBudget(budgets), 0);
  assert.ok(spent > 0);
  assert.ok(spent <= 90 * LIMITS.ratio + LIMITS.slack, `${spent} of ${90 * LIMITS.ratio + LIMITS.slack}`);
});

test('each pool has its own budget, which is restored after the window', () => {
  const clock = createManualClock();
  const budgets = createRetryBudgets({ clock, limits: () => LIMITS, hosts: () => 2 });
  const first = exhaustBudget(budgets);
  assert.equal(budgets.spend('other'), true);
  assert.equal(budgets.spend('p'), false);
  clock.advance(2 * LIMITS.windowMs);
  assert.equal(exhaustBudget(budgets), first);
});

test('applies changed limits at once', () => {
  const clock = createManualClock();
  let limits = { ...LIMITS, slack: 0, ratio: 0 };
  const budgets = createRetryBudgets({ clock, limits: () => limits, hosts: () => 1 });
  assert.equal(budgets.spend('p'), false);
  limits = LIMITS;
  assert.equal(budgets.spend('p'), true);
});
