import createVirtualFleet from './_lib/createVirtualFleet.js';
import { runUntil } from './_lib/faults.js';
import type { Figure, Measure } from './types.js';

const SIZES = [9, 50, 200];
const DOMAINS = 3;
const DOCUMENTS = 34;
const WINDOW_MS = 1_000;
const WATCH_MS = 30_000;

/** Highest number of calls in any window of one second. */
const peakRate = (timesMs: readonly number[]): number => {
  const sorted = [...timesMs].sort((a, b) => a - b);
  return sorted.reduce((peak, startMs, index) => {
    const end = sorted.findIndex((timeMs) => timeMs >= startMs + WINDOW_MS);
    return Math.max(peak, (end < 0 ? sorted.length : end) - index);
  }, 0);
};

const measureSize = async (hosts: number, seed: number): Promise<readonly Figure[]> => {
  const fleet = createVirtualFleet({ hosts, domains: DOMAINS, seed });
  for (let index = 0; index < DOCUMENTS; index += 1) {
    fleet.accept(`service-${index}`, `c${index}`).catch(() => undefined);
    await fleet.run(20);
  }
  await fleet.run(5_000);
  const before = fleet.store.callTimesMs.length;
  fleet.hosts.forEach((_, index) => fleet.crash(index));
  fleet.hosts.forEach((_, index) => fleet.start(index));
  const current = () => fleet.hosts.every((host) => host.distribution.ready() && host.versions.size === DOCUMENTS);
  const readyMs = await runUntil(fleet, current, { limitMs: WATCH_MS, stepMs: 20 });
  await fleet.run(WATCH_MS);
  const times = fleet.store.callTimesMs.slice(before);
  fleet.close();
  return [
    { name: `${hosts} hosts, all ready after`, value: readyMs, unit: 'ms' },
    { name: `${hosts} hosts, store calls in 30 s`, value: times.length, unit: '1' },
    { name: `${hosts} hosts, most store calls in 1 s`, value: peakRate(times), unit: '1/s' },
  ];
};

/** Store calls when every host restarts at one instant. */
const measureRestart: Measure = async ({ seed, quick }) => {
  const figures: Figure[] = [];
  for (const hosts of quick ? [9] : SIZES) {
    figures.push(...(await measureSize(hosts, seed)));
  }
  return { measurement: 'restart', seed, figures };
};

export default measureRestart;
