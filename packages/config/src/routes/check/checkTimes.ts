import type { CallerLimits, Route, RouteTable } from '../types.js';
import type { RouteFinding } from './types.js';

const checkRoute = (route: Route): readonly RouteFinding[] => {
  const { name, timeoutMs, objectiveMs, maxPauseMs, maxAttempts, kind, resumable } = route;
  const find = (severity: RouteFinding['severity'], isFound: boolean, message: string): readonly RouteFinding[] =>
    isFound ? [{ severity, entry: `route ${name}`, message }] : [];
  return [
    ...find('error', !(timeoutMs > 0), `the time limit is ${timeoutMs} ms, so no request is served`),
    ...find('error', !(objectiveMs > 0), `the objective is ${objectiveMs} ms, so no answer is on time`),
    ...find('error', !(maxAttempts >= 1), `${maxAttempts} attempts are allowed, so no request is served`),
    ...find(
      'warning',
      objectiveMs > timeoutMs,
      `the objective of ${objectiveMs} ms is above the time limit of ${timeoutMs} ms`,
    ),
    ...find(
      'warning',
      (maxPauseMs ?? 0) > timeoutMs,
      `the longest pause of ${maxPauseMs} ms is above the time limit of ${timeoutMs} ms`,
    ),
    ...find('warning', kind !== 'stream' && resumable, 'only streams can be resumed'),
  ];
};

const checkLimits = (limits: CallerLimits): readonly RouteFinding[] => {
  const entry = 'limits';
  const { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } = limits;
  const senseless = Object.entries(limits)
    .filter(([, value]) => !(value > 0))
    .map(([name, value]): RouteFinding => ({ severity: 'error', entry, message: `${name} is ${value}` }));
  const contradictions: readonly (readonly [boolean, string])[] = [
    [
      maxHeaderBytes > maxBodyBytes,
      `the limit of heads, ${maxHeaderBytes} bytes, is above that of bodies, ${maxBodyBytes}`,
    ],
    [
      headerTimeoutMs > idleTimeoutMs,
      `heads may take ${headerTimeoutMs} ms, idle connections are closed after ${idleTimeoutMs} ms`,
    ],
  ];
  return [
    ...senseless,
    ...contradictions.flatMap(([isFound, message]): readonly RouteFinding[] =>
      isFound ? [{ severity: 'warning', entry, message }] : [],
    ),
  ];
};

/**
 * Checks the times and limits of a table.
 *
 * @param table - the table
 * @returns the findings: values that let nothing through, and values that contradict each other
 */
export default function checkTimes({ routes, limits }: Pick<RouteTable, 'routes' | 'limits'>): readonly RouteFinding[] {
  return [...routes.flatMap(checkRoute), ...checkLimits(limits)];
}
