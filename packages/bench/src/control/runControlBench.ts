import measureCost, { measureTargetCost } from './measureCost.js';
import measureDetection from './measureDetection.js';
import measureDigests from './measureDigests.js';
import measureEvents from './measureEvents.js';
import measureInForce from './measureInForce.js';
import measureLoadReports from './measureLoadReports.js';
import measureMemory from './measureMemory.js';
import measureProcess from './measureProcess.js';
import measureRestart from './measureRestart.js';
import measureSchedules from './measureSchedules.js';
import type { ControlReport, Measure, MeasureOptions } from './types.js';

/** Every measurement of the control plane by name. */
export const CONTROL_MEASUREMENTS: Readonly<Record<string, Measure>> = {
  'in-force': measureInForce,
  cost: measureCost,
  'target-cost': measureTargetCost,
  'load-reports': measureLoadReports,
  process: measureProcess,
  memory: measureMemory,
  detection: measureDetection,
  events: measureEvents,
  restart: measureRestart,
  digests: measureDigests,
  schedules: measureSchedules,
};

/**
 * Runs measurements of the control plane one after another.
 *
 * @param names - names of measurements; all of them when empty
 * @param options - seed and length
 * @returns one report a measurement
 * @throws RangeError for an unknown name
 * @example
 * await runControlBench(['in-force'], { seed: 1, quick: false });
 */
export default async function runControlBench(
  names: readonly string[],
  options: MeasureOptions,
): Promise<readonly ControlReport[]> {
  const chosen = names.length === 0 ? Object.keys(CONTROL_MEASUREMENTS) : names;
  const unknown = chosen.find((name) => CONTROL_MEASUREMENTS[name] === undefined);
  if (unknown !== undefined) {
    throw new RangeError(`no measurement "${unknown}"; expected ${Object.keys(CONTROL_MEASUREMENTS).join(', ')}`);
  }
  const reports: ControlReport[] = [];
  for (const name of chosen) {
    reports.push(await (CONTROL_MEASUREMENTS[name] as Measure)(options));
  }
  return reports;
}
