import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import * as vega from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { LoadResult } from './types.js';

const WIDTH = 520;
const HEIGHT = 200;
const MS_PER_SECOND = 1_000;

const seriesOf = (result: LoadResult): string => result.policy;

const attainmentRows = (results: readonly LoadResult[]) =>
  results.flatMap((result) =>
    result.timeline
      .filter((point) => point.arrivals > 0)
      .map((point) => ({
        policy: seriesOf(result),
        deployment: result.deployment,
        second: point.atMs / MS_PER_SECOND,
        attainment: point.attained / point.arrivals,
      })),
  );

const latencyRows = (results: readonly LoadResult[]) =>
  results.flatMap((result) =>
    result.latencyMs.map((point) => ({
      policy: seriesOf(result),
      deployment: result.deployment,
      quantile: String(point.quantile),
      latencyMs: point.valueMs,
    })),
  );

/** Mean over the seeds; the chart stacks stages, which cannot be combined with a mean of its own. */
const costRows = (results: readonly LoadResult[]) => {
  const rows = new Map<string, { policy: string; deployment: string; stage: string; costMs: number }>();
  results.forEach((result) => {
    const seeds = results.filter(
      ({ policy, deployment }) => policy === result.policy && deployment === result.deployment,
    ).length;
    Object.entries(result.figures.costMs).forEach(([stage, costMs]) => {
      const key = `${result.deployment} ${result.policy} ${stage}`;
      const before = rows.get(key)?.costMs ?? 0;
      const { deployment } = result;
      rows.set(key, { policy: seriesOf(result), deployment, stage, costMs: before + costMs / seeds });
    });
  });
  return [...rows.values()];
};

/** Three charts under each other, one column for each deployment. */
const createSpec = (results: readonly LoadResult[]): TopLevelSpec => {
  const chart = (title: string, values: object[], unit: object) => ({
    title,
    data: { values },
    facet: { column: { field: 'deployment', type: 'nominal' } },
    spec: { width: WIDTH, height: HEIGHT, ...unit },
  });
  const color = { field: 'policy', type: 'nominal' };
  const spec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    background: 'white',
    vconcat: [
      chart('Attainment over time', attainmentRows(results), {
        mark: 'line',
        encoding: {
          x: { field: 'second', type: 'quantitative', title: 'time (s)' },
          y: { aggregate: 'mean', field: 'attainment', type: 'quantitative', title: 'attained in time' },
          color,
        },
      }),
      chart('Latency by quantile', latencyRows(results), {
        mark: { type: 'line', point: true },
        encoding: {
          x: { field: 'quantile', type: 'ordinal' },
          y: { aggregate: 'median', field: 'latencyMs', type: 'quantitative', scale: { type: 'log' }, title: 'ms' },
          color,
        },
      }),
      chart('Cost by stage for each request in time', costRows(results), {
        mark: 'bar',
        encoding: {
          x: { field: 'policy', type: 'nominal' },
          y: { field: 'costMs', type: 'quantitative', title: 'server time (ms)' },
          color: { field: 'stage', type: 'nominal' },
        },
      }),
    ],
    resolve: { scale: { color: 'independent' } },
  };
  return spec as unknown as TopLevelSpec;
};

const renderSvg = (spec: TopLevelSpec): Promise<string> => {
  const view = new vega.View(vega.parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
};

const wrapHtml = (title: string, svg: string): string =>
  `<!doctype html>\n<html lang="en">\n<meta charset="utf-8">\n<title>${title}</title>\n<body>\n${svg}\n</body>\n</html>\n`;

/**
 * Writes the report of a scenario: attainment over time, latency by quantile and cost by stage.
 *
 * @param results - results of all policies and seeds
 * @param file - target; `.svg` gives an SVG file, any other extension an HTML page
 */
export default async function writeLoadReport(results: readonly LoadResult[], file: string): Promise<void> {
  const svg = await renderSvg(createSpec(results));
  mkdirSync(path.dirname(path.resolve(file)), { recursive: true });
  writeFileSync(file, file.endsWith('.svg') ? svg : wrapHtml(results[0]?.scenario ?? 'load', svg));
}
