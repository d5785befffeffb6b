import assert from 'node:assert/strict';
import { test } from 'node:test';
import createScrapedMetrics from './createScrapedMetrics.js';

test('renders counters, gauges and times in seconds', async () => {
  const metrics = createScrapedMetrics();
  metrics.report('route.requests', 1, { route: 'chat', result: 'answered' });
  metrics.report('route.requests', 2, { route: 'chat', result: 'answered' });
  metrics.report('host.open_requests', 7);
  metrics.report('host.open_requests', 3);
  metrics.report('route.first_byte', 300, { route: 'chat' });
  const text = await metrics.render();
  assert.match(text, /^bergamot_route_requests_total\{route="chat",result="answered"\} 3$/m);
  assert.match(text, /^bergamot_host_open_requests 3$/m);
  assert.match(text, /^bergamot_route_first_byte_seconds_bucket\{le="0.2",route="chat"\} 0$/m);
  assert.match(text, /^bergamot_route_first_byte_seconds_bucket\{le="0.35",route="chat"\} 1$/m);
  assert.match(text, /^bergamot_route_first_byte_seconds_sum\{route="chat"\} 0.3$/m);
});

test('two instances in one process do not share metrics', async () => {
  const [first, second] = [createScrapedMetrics(), createScrapedMetrics()];
  first.report('host.open_requests', 7);
  assert.equal((await second.render()).trim(), '');
});
