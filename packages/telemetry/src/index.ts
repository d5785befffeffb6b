/** Metrics and traces. */
export { METRICS } from './metrics.js';
export { default as formatMetricCatalogue } from './formatMetricCatalogue.js';
export type { MetricName, MetricSpec } from './metrics.js';
export { default as createMetrics } from './createMetrics.js';
export type { Metrics, MetricsOptions } from './createMetrics.js';
export { default as createScrapedMetrics } from './createScrapedMetrics.js';
export type { ScrapedMetrics } from './createScrapedMetrics.js';
export { default as createTracer } from './createTracer.js';
export type { TracerOptions } from './createTracer.js';
export type { Span, SpanRecord, Tracer } from './types.js';
