import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { build, decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';
import { builtScript } from '../deployment/paths.js';
import type { LoadReport, LoadTask } from './types.js';

/** Merged reports of several generators. */
export interface MergedReport {
  readonly answered: number;
  readonly failed: number;
  readonly latencyUs: Histogram;
}

const runProcess = promisify(execFile);

const runGenerator = async (task: LoadTask): Promise<LoadReport> => {
  const { stdout } = await runProcess(process.execPath, [
    builtScript('bench', 'overhead/generator.main.js'),
    JSON.stringify(task),
  ]);
  return JSON.parse(stdout) as LoadReport;
};

/**
 * Runs generator processes at the same time and merges their reports.
 *
 * @param tasks - a task for each process
 * @returns the merged report
 */
export default async function runGenerators(tasks: readonly LoadTask[]): Promise<MergedReport> {
  const reports = await Promise.all(tasks.map(runGenerator));
  const latencyUs = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
  reports.forEach((report) => latencyUs.add(decodeFromCompressedBase64(report.histogram)));
  return {
    answered: reports.reduce((sum, report) => sum + report.answered, 0),
    failed: reports.reduce((sum, report) => sum + report.failed, 0),
    latencyUs,
  };
}
