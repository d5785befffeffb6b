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
  readonly storeMs?: number;
  readonly seconds?: number;
  readonly ratesPerSecond?: readonly number[];
}

/** Figures of one rate. */
export interface ClaimsBenchRow {
  readonly ratePerSecond: number;
  readonly requests: number;
  /** Time from asking for a claim to its grant. */
  readonly claimP50Ms: number;
  readonly claimP99Ms: number;
  /** Time that an answer waits for its outcome to be durable. */
  readonly recordP50Ms: number;
  readonly recordP99Ms: number;
  readonly refused: number;
  readonly storeCallsPer1000: number;
  readonly storeCallsPerSecond: number;
}

const ADDRESS = '127.0.0.1';
const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
const P50 = 50;
const P99 = 99;

const sumCalls = (store: StoreStandin): number =>
  Object.values(store.counters()).reduce((sum, count) => sum + count, 0);

/** Next message of a host; the hosts answer each message with one. */
const receive = <Message>(worker: Worker): Promise<Message> =>
  new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });

const readMs = (values: readonly number[], percentile: number): number => {
  const histogram = build();
  values.forEach((value) => histogram.recordValue(value * MICROS_PER_MS));
  return Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
};

const runHosts = async (dataOfHosts: readonly BenchHostData[]): Promise<readonly BenchHostResult[]> => {
  const file = new URL('./benchHost.main.js', import.meta.url);
  const workers = dataOfHosts.map((workerData) => new Worker(file, { workerData }));
  const ready = await Promise.all(workers.map((worker) => receive<{ readonly view: EntryHostView }>(worker)));
  const views = ready.map(({ view }) => view);
  const done = workers.map((worker) => receive<{ readonly result: BenchHostResult }>(worker));
  workers.forEach((worker) => worker.postMessage({ views }));
  const results = await Promise.all(done);
  workers.forEach((worker) => worker.postMessage({}));
  return results.map(({ result }) => result);
};

const measureRate = async (rate: number, options: Required<ClaimsBenchOptions>): Promise<ClaimsBenchRow> => {
  const { seconds, seed, hosts } = options;
  const store = await startStore({ address: ADDRESS, port: 0 }, { clock: createSystemClock() });
  store.setFaults([{ type: 'slow', delayMs: options.storeMs }]);
  const common = { storePort: store.port, ratePerSecond: rate / hosts, seconds, seed };
  const results = await runHosts(Array.from({ length: hosts }, (_, index) => ({ ...common, index })));
  const calls = sumCalls(store);
  await store.close();
  const claimMs = results.flatMap((result) => result.claimMs);
  const recordMs = results.flatMap((result) => result.recordMs);
  const refused = results.reduce((sum, result) => sum + result.refused, 0);
  const requests = claimMs.length + refused;
  return {
    ratePerSecond: rate,
    requests,
    claimP50Ms: readMs(claimMs, P50),
    claimP99Ms: readMs(claimMs, P99),
    recordP50Ms: readMs(recordMs, P50),
    recordP99Ms: readMs(recordMs, P99),
    refused,
    storeCallsPer1000: Math.round((calls * MS_PER_SECOND) / requests),
    storeCallsPerSecond: Math.round(calls / seconds),
  };
};

/**
 * Measures the added delay of a claim and the store calls that claims and outcomes cost, at several rates of
 * non-idempotent requests.
 *
 * @param options - seed of the arrivals, hosts, delay of the store
 * @returns one row for each rate
 */
export default async function runClaimsBench(options: ClaimsBenchOptions): Promise<readonly ClaimsBenchRow[]> {
  const rates = options.ratesPerSecond ?? [10, 100, 1_000];
  const filled = { hosts: 9, storeMs: 2, seconds: 10, ...options, ratesPerSecond: rates };
  const rows: ClaimsBenchRow[] = [];
  for (const rate of rates) {
    rows.push(await measureRate(rate, filled));
  }
  return rows;
}
