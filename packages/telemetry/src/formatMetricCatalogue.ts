import type { MetricSpec } from './metrics.js';

const escapeCell = (text: string): string => text.replaceAll('|', '\\|');

/**
 * Formats the metric catalogue as the page `docs/metrics.md`.
 *
 * @param metrics - the metrics by name
 * @returns the page, sorted by name
 * @example
 * formatMetricCatalogue(METRICS);
 */
export default function formatMetricCatalogue(metrics: Readonly<Record<string, MetricSpec>>): string {
  const rows = Object.entries(metrics)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, { type, unit, tags, text }]) => {
      const tagText = tags.map((tag) => `\`${tag}\``).join(', ');
      return `| \`bergamot.${name}\` | ${type} | ${unit} | ${tagText} | ${escapeCell(text)} |`;
    });
  return [
    '# Metrics',
    '',
    'Written by `npm run docs` from `packages/telemetry/src/metrics.ts`. Metrics are sent over StatsD to the address in',
    'the setting `metrics`. Each carries the tag `host_id` besides the tags below.',
    '',
    '| name | type | unit | tags | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
