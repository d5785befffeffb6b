import type { Route, RouteStage } from '../types.js';
import type { RouteFinding } from './types.js';

/** Stages that can run, because every stage that they wait for can run. */
const listRunnable = (stages: readonly RouteStage[], runnable: ReadonlySet<number>): ReadonlySet<number> => {
  const next = new Set(
    stages.flatMap(({ after }, index) => (after.every((input) => runnable.has(input)) ? [index] : [])),
  );
  return next.size === runnable.size ? next : listRunnable(stages, next);
};

/**
 * Checks the order of the stages of a route.
 *
 * @param route - the route
 * @returns the findings: inputs that are no stages, and stages that wait for each other
 */
export default function checkStages({ name, stages }: Pick<Route, 'name' | 'stages'>): readonly RouteFinding[] {
  const entry = `route ${name}`;
  const unknown = stages.flatMap(({ after }, index) =>
    after
      .filter((input) => stages[input] === undefined)
      .map((input): RouteFinding => ({
        severity: 'error',
        entry,
        message: `stage ${index} waits for stage ${input}, which does not exist`,
      })),
  );
  const runnable = listRunnable(stages, new Set());
  const stuck = [...stages.keys()].filter((index) => !runnable.has(index));
  return unknown.length > 0 || stuck.length === 0
    ? unknown
    : [{ severity: 'error', entry, message: `stages ${stuck.join(', ')} wait for each other and never run` }];
}
