import type { Clock } from '@bergamotcove/clock';
import { createWindowBudget, type WindowBudget } from '@bergamotcove/decide';

/** Retry budgets, one for each pool. */
export interface RetryBudgets {
  /** Counts a request for the pool that arrived at this host. */
  noteRequest(pool: string): void;
  /** Spends retries; false when the budget does not allow them. */
  spend(pool: string, count?: number): boolean;
}

/** Options of {@link createRetryBudgets}. */
export interface RetryBudgetsOptions {
  readonly clock: Clock;
  /** Limits of the whole fleet. */
  readonly limits: () => { readonly ratio: number; readonly slack: number; readonly windowMs: number };
  /** Number of hosts that share the slack. */
  readonly hosts: () => number;
}

/** Share of the fleet's slack that the listed hosts divide; the rest is for hosts that are not listed yet. */
const SLACK_SHARE = 0.8;

/**
 * Creates this host's share of the fleet's retry budgets. Each host counts its own requests and gets an equal part of
 * the slack, so a retry needs no coordination between hosts.
 *
 * @param options - limits of the fleet and number of hosts
 * @returns the budgets
 */
export default function createRetryBudgets({ clock, limits, hosts }: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<string, WindowBudget>();
  const find = (pool: string): WindowBudget => {
    const budget = budgets.get(pool) ?? createWindowBudget(limits().windowMs);
    budgets.set(pool, budget);
    return budget;
  };
  return {
    noteRequest: (pool) => find(pool).noteRequest(clock.monotonicMs()),
    spend: (pool, count = 1) => {
      const { ratio, slack, windowMs } = limits();
      const share = (slack * SLACK_SHARE) / Math.max(1, hosts());
      return find(pool).spend(count, { ratio, slack: share, windowMs }, clock.monotonicMs());
    },
  };
}
