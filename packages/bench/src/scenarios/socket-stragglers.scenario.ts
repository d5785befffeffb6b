import { build } from 'hdr-histogram-js';
import { createHttpClient, type HttpClient } from '@bergamotcove/transport';
import createRandomSource from '../load/_lib/createRandomSource.js';
import { drawExponential } from '../load/_lib/sampling.js';
import type { BenchRun } from '../load/benchTypes.js';
import { formatRows } from '../load/formatLoadTable.js';
import startSocketHosts, { SOCKET_SERVICE } from '../load/sockets/startSocketHosts.js';

const HOSTS = 2;
const TOKEN_MS = 5;
const SLOW_FACTOR = 5;
const FULL_SPEED = [TOKEN_MS, TOKEN_MS, TOKEN_MS, TOKEN_MS, TOKEN_MS];
const ONE_SLOW = [TOKEN_MS * SLOW_FACTOR, ...FULL_SPEED.slice(1)];
const REQUESTS_PER_SECOND = 15;
const WARM_UP_MS = 4_000;
const MEASURE_MS = 20_000;
const MS_PER_SECOND = 1_000;
const P50 = 50;
const P99 = 99;

interface SocketFigures {
  readonly engines: string;
  readonly requests: number;
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const waitUntil = (atMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, atMs - performance.now()));
  });

const post = async (http: HttpClient, port: number): Promise<boolean> => {
  const response = await http.send(
    { address: '127.0.0.1', port },
    {
      method: 'POST',
      path: `/v1/services/${SOCKET_SERVICE}/requests`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ organisation: 'acme', operation: 'explain', input: { question: 'why' } }),
    },
  );
  return response.status === 200;
};

/** Runs an open loop: requests start at their scheduled times regardless of answers, and latency counts from then. */
const runOnce = async (engines: string, engineTokenMs: readonly number[], seed: number): Promise<SocketFigures> => {
  const random = createRandomSource(seed, 1);
  const hosts = await startSocketHosts({ hosts: HOSTS, engineTokenMs });
  const http = createHttpClient();
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const startMs = performance.now();
  const sent: Promise<boolean>[] = [];
  for (let atMs = 0; atMs < WARM_UP_MS + MEASURE_MS;) {
    atMs += drawExponential(MS_PER_SECOND / REQUESTS_PER_SECOND, random);
    const intendedMs = startMs + atMs;
    const measured = atMs >= WARM_UP_MS;
    await waitUntil(intendedMs);
    const answer = post(http, hosts.ports[Math.floor(random() * HOSTS)] as number).then((answered) => {
      if (answered && measured) {
        histogram.recordValue(Math.max(1, Math.round(performance.now() - intendedMs)));
      }
      return answered;
    });
    if (measured) {
      sent.push(answer);
    }
  }
  const answered = (await Promise.all(sent)).filter(Boolean).length;
  http.close();
  await hosts.close();
  const [p50Ms, p99Ms] = [P50, P99].map((percent) => histogram.getValueAtPercentile(percent)) as [number, number];
  return { engines, requests: sent.length, answered, p50Ms, p99Ms };
};

/** Repeats the scenario `stragglers` over sockets: two entry hosts, five engine stand-ins, one of them 5 times slower. */
const runSocketStragglers: BenchRun = async ({ seeds }) => {
  const results: SocketFigures[] = [];
  for (const seed of seeds) {
    results.push(await runOnce('full speed', FULL_SPEED, seed));
    results.push(await runOnce('one slow', ONE_SLOW, seed));
  }
  const rows = results.map((result) => [
    result.engines,
    ...[result.requests, result.answered, result.p50Ms, result.p99Ms].map(String),
  ]);
  return { table: formatRows([['engines', 'requests', 'answered', 'p50 ms', 'p99 ms'], ...rows]), json: results };
};

export default runSocketStragglers;
