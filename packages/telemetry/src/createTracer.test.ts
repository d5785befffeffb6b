import assert from 'node:assert/strict';
import { test } from 'node:test';
import createTracer from './createTracer.js';

test('a child span joins the trace of its traceparent, so that one trace shows every hop', () => {
  const tracer = createTracer({ hostId: 'a1', sampleRatio: 1 });
  const parent = tracer.startSpan('request');
  const child = tracer.startSpan('attempt', parent.traceparent);
  child.setAttribute('pool', 'encoders');
  child.end('connection reset');
  parent.end();
  const spans = tracer.findTrace(parent.traceId);
  assert.equal(spans.length, 2);
  assert.equal(spans[0]?.parentSpanId, spans[1]?.spanId);
  assert.equal(spans[0]?.ok, false);
  assert.equal(spans[0]?.attributes.pool, 'encoders');
  tracer.close();
});

test('a malformed traceparent starts a new trace instead of failing the request', () => {
  const tracer = createTracer({ hostId: 'a1', sampleRatio: 1 });
  const span = tracer.startSpan('request', 'not a traceparent');
  assert.match(span.traceparent, /^00-[0-9a-f]{32}-[0-9a-f]{16}-01$/);
  span.end();
  tracer.close();
});
