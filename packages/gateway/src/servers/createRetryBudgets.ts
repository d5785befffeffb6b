import type { Clock } from '@bergamotcove/clock';
import { createWindowBudget, type WindowBudget } from '@bergamotcove/decide';

/** Budgets of repeated sends, one for each pool. */
export interface RetryBudgets {
  /** A request for the pool arrived at this host. */
  noteRequest(pool: string): void;
  /** Takes room for repeated sends; false when there is not enough. */
  spend(pool: string, count?: number): boolean;
}

/** Options of {@link createRetryBudgets}. */
export interface RetryBudgetsOptions {
  readonly clock: Clock;
  /** Limits of the whole fleet. */
  readonly limits: () => { readonly ratio: number; readonly slack: number; readonly windowMs: number };
  /** Hosts that share the slack. */
  readonly hosts: () => number;
}

/** Share of the fleet's slack that the hosts use together; the rest covers hosts that are not listed yet. */
const SLACK_SHARE = 0.8;

/**
 * Creates this host's share of the fleet's budgets. Each host counts its own requests and takes an equal part of the
 * slack, so no host has to be asked before a repeated send.
 *
 * @param options - limits of the fleet
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
