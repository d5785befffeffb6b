import { isSpanContextValid, ROOT_CONTEXT, SpanStatusCode, trace, type Context } from '@opentelemetry/api';
import { hrTimeToMilliseconds, parseTraceParent } from '@opentelemetry/core';
import {
  BasicTracerProvider,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
  type ReadableSpan,
  type SpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import type { Span, SpanRecord, Tracer } from './types.js';

/** Options of {@link createTracer}. */
export interface TracerOptions {
  readonly hostId: string;
  /** Share of new traces that are recorded, 0 to 1. */
  readonly sampleRatio: number;
  /** Number of newest finished spans that are kept; up to twice as many stay in memory before the oldest are dropped. */
  readonly maxSpans?: number;
}

const DEFAULT_MAX_SPANS = 20_000;
const TRACEPARENT_VERSION = '00';

const toRecord = (span: ReadableSpan, hostId: string): SpanRecord => ({
  traceId: span.spanContext().traceId,
  spanId: span.spanContext().spanId,
  ...(span.parentSpanContext === undefined ? {} : { parentSpanId: span.parentSpanContext.spanId }),
  name: span.name,
  startMs: hrTimeToMilliseconds(span.startTime),
  durationMs: hrTimeToMilliseconds(span.duration),
  ok: span.status.code !== SpanStatusCode.ERROR,
  attributes: { hostId, ...(span.attributes as Record<string, string | number | boolean>) },
});

/** Keeps the most recent finished spans. */
const createSpanBuffer = (hostId: string, maxSpans: number) => {
  let records: SpanRecord[] = [];
  const processor: SpanProcessor = {
    onStart: () => undefined,
    onEnd: (span) => {
      records.push(toRecord(span, hostId));
      if (records.length > maxSpans * 2) {
        records = records.slice(-maxSpans);
      }
    },
    forceFlush: () => Promise.resolve(),
    shutdown: () => Promise.resolve(),
  };
  return { processor, find: (traceId: string) => records.filter((record) => record.traceId === traceId) };
};

const toContext = (traceparent: string | undefined): Context => {
  const parent = traceparent === undefined ? null : parseTraceParent(traceparent);
  return parent !== null && isSpanContextValid(parent)
    ? trace.setSpanContext(ROOT_CONTEXT, { ...parent, isRemote: true })
    : ROOT_CONTEXT;
};

/**
 * Creates a tracer that propagates W3C trace context and keeps finished spans in memory.
 *
 * @param options - host id, sampling and buffer size
 * @returns the tracer
 * @example
 * const span = tracer.startSpan('request', headers.traceparent);
 * span.end();
 */
export default function createTracer(options: TracerOptions): Tracer {
  const buffer = createSpanBuffer(options.hostId, options.maxSpans ?? DEFAULT_MAX_SPANS);
  const provider = new BasicTracerProvider({
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.sampleRatio) }),
    spanProcessors: [buffer.processor],
  });
  const tracer = provider.getTracer('bergamotcove');
  const startSpan = (name: string, traceparent?: string): Span => {
    const span = tracer.startSpan(name, {}, toContext(traceparent));
    const context = span.spanContext();
    const flags = context.traceFlags.toString(16).padStart(2, '0');
    return {
      traceId: context.traceId,
      traceparent: `${TRACEPARENT_VERSION}-${context.traceId}-${context.spanId}-${flags}`,
      setAttribute: (key, value) => {
        span.setAttribute(key, value);
      },
      end: (error) => {
        if (error !== undefined) {
          span.setStatus({ code: SpanStatusCode.ERROR, message: error });
        }
        span.end();
      },
    };
  };
  return {
    startSpan,
    findTrace: buffer.find,
    close: () => {
      provider.shutdown().catch(() => undefined);
    },
  };
}
