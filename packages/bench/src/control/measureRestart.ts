import createVirtualFleet, { type VirtualFleet, type VirtualHost } from './_lib/createVirtualFleet.js';
import { runUntil } from './_lib/faults.js';
import type { Figure, Measure } from './types.js';

const SIZES = [9, 50, 200];
const DOMAINS = 3;
const TARGET = { hosts: 410, domains: 11 };
const FAR_REGION = 'region-1';
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

const acceptAll = async (fleet: VirtualFleet): Promise<void> => {
  for (let index = 0; index < DOCUMENTS; index += 1) {
    fleet.accept(`service-${index}`, `c${index}`).catch(() => undefined);
    await fleet.run(20);
  }
  await fleet.run(5_000);
};

const areCurrent = (hosts: readonly VirtualHost[]): boolean =>
  hosts.every((host) => host.distribution.ready() && host.versions.size === DOCUMENTS);

/** Restart of every host of the far region at the target size: what crosses the link to the store. */
const measureRegion = async (seed: number): Promise<readonly Figure[]> => {
  const fleet = createVirtualFleet({ ...TARGET, seed });
  await acceptAll(fleet);
  const indexes = fleet.hosts.flatMap(({ address }, index) => (address.region === FAR_REGION ? [index] : []));
  const storeBytes = () => indexes.reduce((sum, index) => sum + fleet.network.traffic(`entry-${index}`).storeBytes, 0);
  const before = storeBytes();
  indexes.forEach((index) => fleet.crash(index));
  indexes.forEach((index) => fleet.start(index));
  const restarted = () => areCurrent(indexes.map((index) => fleet.hosts[index] as VirtualHost));
  const readyMs = await runUntil(fleet, restarted, { limitMs: WATCH_MS, stepMs: 20 });
  await fleet.run(WATCH_MS);
  const name = `${indexes.length} hosts of a far region`;
  const figures = [
    { name: `${name}, all ready after`, value: readyMs, unit: 'ms' },
    { name: `${name}, bytes to and from the store in 30 s`, value: storeBytes() - before, unit: 'B' },
  ];
  fleet.close();
  return figures;
};

const measureSize = async (hosts: number, seed: number): Promise<readonly Figure[]> => {
  const fleet = createVirtualFleet({ hosts, domains: DOMAINS, seed });
  await acceptAll(fleet);
  const before = fleet.store.callTimesMs.length;
  fleet.hosts.forEach((_, index) => fleet.crash(index));
  fleet.hosts.forEach((_, index) => fleet.start(index));
  const current = () => areCurrent(fleet.hosts);
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
  if (!quick) {
    figures.push(...(await measureRegion(seed)));
  }
  return { measurement: 'restart', seed, figures };
};

export default measureRestart;
