import type { OverheadResult } from './types.js';

const MS_DIGITS = 2;
const PERCENT = 100;

/**
 * Formats the result as a Markdown table for the terminal and `docs/MEASUREMENTS.md`.
 *
 * @param result - the result
 * @returns the text
 */
export default function formatOverhead(result: OverheadResult): string {
  const ms = (value: number): string => value.toFixed(MS_DIGITS);
  const rows = result.paths.map((path) =>
    [
      '',
      path.path,
      Math.round(path.saturationPerSecond),
      path.perCpuSecond === undefined ? '-' : Math.round(path.perCpuSecond),
      Math.round(path.offeredPerSecond),
      ms(path.p50Ms),
      ms(path.p99Ms),
      path.failed,
      '',
    ]
      .join(' | ')
      .trim(),
  );
  const { addedPerHop, addedByForwarder, throughputShare } = result;
  return [
    '| path | requests/s at saturation | requests per CPU second | offered/s | p50 ms | p99 ms | failed |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
    `Added by one hop of the entry host: p50 ${ms(addedPerHop.p50Ms)} ms, p99 ${ms(addedPerHop.p99Ms)} ms.`,
    `Added by the forwarder: p50 ${ms(addedByForwarder.p50Ms)} ms, p99 ${ms(addedByForwarder.p99Ms)} ms.`,
    `Throughput beside the forwarder: ${Math.round(throughputShare * PERCENT)}%. Seed ${result.seed}.`,
  ].join('\n');
}
