import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import { exhaustive } from '@bergamotcove/errors';
import { METRICS, type MetricName, type MetricSpec } from './metrics.js';

/** Collects catalogued metrics for scraping in the Prometheus text format. */
export interface ScrapedMetrics {
  /** Adds to a counter, sets a gauge, or observes a time in milliseconds. */
  report(name: MetricName, value: number, tags?: Readonly<Record<string, string>>): void;
  /** All metrics in the Prometheus text format. */
  render(): Promise<string>;
  /** Media type of the rendered text. */
  readonly contentType: string;
}

const PREFIX = 'bergamot_';
const MS_PER_SECOND = 1_000;
/** Upper bounds of the histogram buckets in seconds, from a simple call to the longest stream. */
const BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 4, 6, 10, 20];

type Instrument = (value: number, tags: Readonly<Record<string, string>>) => void;

const formatName = (name: string): string => `${PREFIX}${name.replaceAll('.', '_')}`;

const createInstrument = (registry: Registry, name: string, { type, tags, text }: MetricSpec): Instrument => {
  const common = { help: text, labelNames: [...tags], registers: [registry] };
  switch (type) {
    case 'counter': {
      const counter = new Counter({ ...common, name: `${formatName(name)}_total` });
      return (value, labels) => counter.inc(labels, value);
    }
    case 'gauge': {
      const gauge = new Gauge({ ...common, name: formatName(name) });
      return (value, labels) => gauge.set(labels, value);
    }
    case 'timing': {
      const histogram = new Histogram({ ...common, name: `${formatName(name)}_seconds`, buckets: BUCKETS_SECONDS });
      return (value, labels) => histogram.observe(labels, value / MS_PER_SECOND);
    }
    default:
      return exhaustive(type);
  }
};

/**
 * Creates metrics that a monitoring system scrapes from the process. Names are those of the catalogue with the prefix
 * `bergamot_`; counters end in `_total`, times in `_seconds`.
 *
 * @returns the metrics
 * @example
 * metrics.report('route.requests', 1, { route: 'chat', result: 'answered' });
 */
export default function createScrapedMetrics(): ScrapedMetrics {
  const registry = new Registry();
  const instruments = new Map<MetricName, Instrument>();
  return {
    contentType: registry.contentType,
    report: (name, value, tags = {}) => {
      const instrument = instruments.get(name) ?? createInstrument(registry, name, METRICS[name]);
      instruments.set(name, instrument);
      instrument(value, tags);
    },
    render: () => registry.metrics(),
  };
}
