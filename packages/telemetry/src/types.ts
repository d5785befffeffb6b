/** A finished span, kept for `bergamotctl trace`, which prints it in a waterfall. */
export interface SpanRecord {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
  /** Wall time of the start. */
  readonly startMs: number;
  readonly durationMs: number;
  readonly ok: boolean;
  readonly attributes: Readonly<Record<string, string | number | boolean>>;
}

/** An open span. */
export interface Span {
  /** W3C `traceparent` value for the next hop. */
  readonly traceparent: string;
  readonly traceId: string;
  setAttribute(name: string, value: string | number | boolean): void;
  /** Ends the span; `error` marks it as failed. */
  end(error?: string): void;
}

/** Starts spans and keeps the finished ones. */
export interface Tracer {
  /** Starts a span under the given `traceparent`, or a new trace when it is absent or malformed. */
  startSpan(name: string, traceparent?: string): Span;
  /** Finished spans of a trace that are still in memory. */
  findTrace(traceId: string): readonly SpanRecord[];
  close(): void;
}
