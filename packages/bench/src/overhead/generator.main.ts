/** Sends load to one port and prints a report: `node generator.main.js '{"port": 8080, ...}'`. */
import http from 'node:http';
import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { LoadReport, LoadTask } from './types.js';

const HIGHEST_US = 60_000_000;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
/** How long answers are awaited after the last request. */
const LAST_ANSWER_MS = 2_000;

const task = JSON.parse(process.argv[2] ?? '{}') as LoadTask;
const agent = new http.Agent({ keepAlive: true });
const random = xoroshiro128plus(task.seed);
const histogram: Histogram = build({
  lowestDiscernibleValue: 1,
  highestTrackableValue: HIGHEST_US,
  numberOfSignificantValueDigits: 3,
});
const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(task.body) };
const startMs = performance.now() + task.warmUpMs;
const endMs = startMs + task.measureMs;
let answered = 0;
let failed = 0;

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const send = (): Promise<boolean> =>
  new Promise((resolve) => {
    const request = http.request(
      { agent, host: '127.0.0.1', port: task.port, method: 'POST', path: task.path, headers },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode === STATUS_OK));
        response.on('error', () => resolve(false));
      },
    );
    request.on('error', () => resolve(false));
    request.end(task.body);
  });

/** Sends one request; its latency counts from the time at which it was due. */
const measure = async (dueMs: number): Promise<void> => {
  const ok = await send();
  const nowMs = performance.now();
  if (dueMs < startMs || dueMs > endMs) {
    return;
  }
  if (ok) {
    answered += 1;
    histogram.recordValue(Math.max(1, Math.round((nowMs - dueMs) * US_PER_MS)));
  } else {
    failed += 1;
  }
};

const sendInTurn = async (): Promise<void> => {
  while (performance.now() < endMs) {
    await measure(performance.now());
  }
};

const open = new Set<Promise<void>>();

const track = (dueMs: number): Promise<void> => {
  const work: Promise<void> = measure(dueMs).finally(() => open.delete(work));
  return work;
};

/** Starts requests at the times of a Poisson process, up to one timer tick late; lateness counts as latency. */
const sendAtRandomTimes = (requestsPerSecond: number): Promise<void> =>
  new Promise((resolve) => {
    const meanGapMs = MS_PER_SECOND / requestsPerSecond;
    const nextGapMs = (): number => -Math.log(1 - uniformFloat64(random)) * meanGapMs;
    let dueMs = performance.now() + nextGapMs();
    const poll = (): void => {
      const nowMs = performance.now();
      while (dueMs <= nowMs) {
        open.add(track(dueMs));
        dueMs += nextGapMs();
      }
      if (nowMs < endMs) {
        setTimeout(poll, Math.max(1, Math.floor(dueMs - nowMs)));
      } else {
        resolve();
      }
    };
    poll();
  });

const run = async (): Promise<void> => {
  const { mode } = task;
  if (mode.type === 'closed') {
    await Promise.all(Array.from({ length: mode.concurrency }, sendInTurn));
  } else {
    await sendAtRandomTimes(mode.requestsPerSecond);
    await Promise.race([Promise.all(open), wait(LAST_ANSWER_MS)]);
  }
  const report: LoadReport = { answered, failed, histogram: encodeIntoCompressedBase64(histogram) };
  console.log(JSON.stringify(report));
  process.exit(0);
};

await run();
