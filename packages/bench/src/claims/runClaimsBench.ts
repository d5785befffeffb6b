import { Worker } from 'node:worker_threads';
import { createSystemClock } from '@bergamotcove/clock';
import type { EntryHostView } from '@bergamotcove/entry';
import { startStore, type StoreStandin } from '@bergamotcove/standins';
import { build } from 'hdr-histogram-js';
import type { BenchHostData, BenchHostResult } from './benchHost.main.js';

/** Options of {@link runClaimsBench}. */
export interface ClaimsBenchOptions {
  readonly seed: number;
  readonly hosts?: number;
  /** Delay that the store adds to each call. */
  readonly storeMs?: number;
  readonly seconds?: number;
  /** Request rates of the whole deployment, measured one after the other. */
  readonly ratesPerSecond?: readonly number[];
}

/** Measurements at one request rate. */
export interface ClaimsBenchRow {
  readonly ratePerSecond: number;
  readonly requests: number;
  /** Time from the request for a claim until it is granted. */
  readonly claimP50Ms: number;
  readonly claimP99Ms: number;
  /** Time that an answer is held back until its outcome is durable. */
  readonly recordP50Ms: number;
  readonly recordP99Ms: number;
  readonly refused: number;
  readonly storeCallsPer1000: number;
  readonly storeCallsPerSecond: number;
}

const ADDRESS = '127.0.0.1';
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const P50 = 50;
const P99 = 99;

const countStoreCalls = (store: StoreStandin): number =>
  Object.values(store.counters()).reduce((sum, count) => sum + count, 0);

/** Receives the next message of a host. A host sends one message when it is ready and one with its result. */
const receiveMessage = <Message>(worker: Worker): Promise<Message> =>
  new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });

const computePercentileMs = (values: readonly number[], percentile: number): number => {
  const histogram = build();
  values.forEach((value) => histogram.recordValue(value * US_PER_MS));
  return Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
};

const runHosts = async (hostData: readonly BenchHostData[]): Promise<readonly BenchHostResult[]> => {
  const file = new URL('./benchHost.main.js', import.meta.url);
  const workers = hostData.map((workerData) => new Worker(file, { workerData }));
  const readyMessages = await Promise.all(
    workers.map((worker) => receiveMessage<{ readonly view: EntryHostView }>(worker)),
  );
  const views = readyMessages.map(({ view }) => view);
  const pendingResults = workers.map((worker) => receiveMessage<{ readonly result: BenchHostResult }>(worker));
  workers.forEach((worker) => worker.postMessage({ views }));
  const results = await Promise.all(pendingResults);
  workers.forEach((worker) => worker.postMessage({}));
  return results.map(({ result }) => result);
};

const measureRate = async (rate: number, options: Required<ClaimsBenchOptions>): Promise<ClaimsBenchRow> => {
  const { seconds, seed, hosts } = options;
  const store = await startStore({ address: ADDRESS, port: 0 }, { clock: createSystemClock() });
  store.setFaults([{ type: 'slow', delayMs: options.storeMs }]);
  const common = { storePort: store.port, ratePerSecond: rate / hosts, seconds, seed };
  const results = await runHosts(Array.from({ length: hosts }, (_, index) => ({ ...common, index })));
  const calls = countStoreCalls(store);
  await store.close();
  const claimMs = results.flatMap((result) => result.claimMs);
  const recordMs = results.flatMap((result) => result.recordMs);
  const refused = results.reduce((sum, result) => sum + result.refused, 0);
  const requests = claimMs.length + refused;
  return {
    ratePerSecond: rate,
    requests,
    claimP50Ms: computePercentileMs(claimMs, P50),
    claimP99Ms: computePercentileMs(claimMs, P99),
    recordP50Ms: computePercentileMs(recordMs, P50),
    recordP99Ms: computePercentileMs(recordMs, P99),
    refused,
    storeCallsPer1000: Math.round((calls * MS_PER_SECOND) / requests),
    storeCallsPerSecond: Math.round(calls / seconds),
  };
};

/**
 * Measures the latency that claims add and the store calls that claims and outcomes need, at several rates of
 * non-idempotent requests.
 *
 * @param options - seed of the arrival times, number of hosts, delay of the store, length and rates
 * @returns one row for each rate
 */
export default async function runClaimsBench(options: ClaimsBenchOptions): Promise<readonly ClaimsBenchRow[]> {
  const rates = options.ratesPerSecond ?? [10, 100, 1_000];
  const filledOptions = { hosts: 9, storeMs: 2, seconds: 10, ...options, ratesPerSecond: rates };
  const rows: ClaimsBenchRow[] = [];
  for (const rate of rates) {
    rows.push(await measureRate(rate, filledOptions));
  }
  return rows;
}
