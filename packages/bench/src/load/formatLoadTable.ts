import type { LoadFigures, LoadResult } from './types.js';

interface Column {
  readonly title: string;
  readonly read: (figures: LoadFigures) => number;
  readonly format: (value: number) => string;
}

const PERCENT = 100;
const BYTES_PER_KB = 1_000;
const percent = (value: number): string => (value * PERCENT).toFixed(2);
const whole = (value: number): string => value.toFixed(0);
const oneDigit = (value: number): string => value.toFixed(1);

const COLUMNS: readonly Column[] = [
  { title: 'requests', read: (figures) => figures.requests, format: whole },
  { title: 'attained %', read: (figures) => figures.attainment, format: percent },
  { title: 'of admitted %', read: (figures) => figures.admittedAttainment, format: percent },
  { title: 'refused', read: (figures) => figures.refused, format: whole },
  { title: 'refused p99 ms', read: (figures) => figures.refusalP99Ms, format: whole },
  { title: 'p50 ms', read: (figures) => figures.p50Ms, format: whole },
  { title: 'p99 ms', read: (figures) => figures.p99Ms, format: whole },
  { title: 'short p99 ms', read: (figures) => figures.shortP99Ms, format: whole },
  { title: 'long p99 ms', read: (figures) => figures.longP99Ms, format: whole },
  { title: 'first token p95 ms', read: (figures) => figures.firstTokenP95Ms, format: whole },
  { title: 'between p95 ms', read: (figures) => figures.betweenTokensP95Ms, format: oneDigit },
  { title: 'goodput %', read: (figures) => figures.crestGoodput, format: percent },
  { title: 'others %', read: (figures) => figures.othersAttainment, format: percent },
  { title: 'cost ms', read: (figures) => figures.costTotalMs, format: oneDigit },
  { title: 'engine ms', read: (figures) => figures.costMs.generate, format: oneDigit },
  { title: 'hedge %', read: (figures) => figures.hedgeWork, format: percent },
  { title: 'link kB/s', read: (figures) => figures.maxLinkBytesPerSecond / BYTES_PER_KB, format: whole },
];

/** Median and, in brackets, the range over the seeds. */
const formatCell = (column: Column, results: readonly LoadResult[]): string => {
  const values = results.map((result) => column.read(result.figures)).sort((a, b) => a - b);
  const middle = column.format(values[Math.floor((values.length - 1) / 2)] ?? 0);
  const low = column.format(values[0] ?? 0);
  const high = column.format(values.at(-1) ?? 0);
  return low === high ? middle : `${middle} [${low}..${high}]`;
};

/** Lays out rows as a Markdown table, which is also easy to read in a terminal. */
export const formatRows = (rows: readonly (readonly string[])[]): string => {
  const [head = []] = rows;
  const widths = head.map((_, column) => Math.max(...rows.map((row) => (row[column] ?? '').length)));
  const lines = rows.map((row) => `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`);
  const rule = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [lines[0], rule, ...lines.slice(1)].join('\n');
};

/**
 * Formats the results of one scenario: a row for each deployment and policy, with median and range over the seeds.
 * Columns in which every value is zero are left out.
 *
 * @param results - results of any number of seeds
 * @returns the table
 * @example
 * console.log(formatLoadTable(results));
 */
export default function formatLoadTable(results: readonly LoadResult[]): string {
  const groups = new Map<string, LoadResult[]>();
  results.forEach((result) => {
    const key = `${result.deployment} ${result.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), result]);
  });
  const columns = COLUMNS.filter((column) => results.some((result) => column.read(result.figures) !== 0));
  const head = ['deployment', 'policy', ...columns.map((column) => column.title)];
  const rows = [...groups.values()].map((group) => [
    group[0]?.deployment ?? '',
    group[0]?.policy ?? '',
    ...columns.map((column) => formatCell(column, group)),
  ]);
  return formatRows([head, ...rows]);
}
