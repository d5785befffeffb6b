import createVirtualFleet, { type VirtualFleet } from './_lib/createVirtualFleet.js';
import fitLine from './_lib/fitLine.js';
import type { Figure, Measure } from './types.js';

const SIZES = [3, 9, 30, 60];
const DOMAINS = 3;
const TARGET = { hosts: 410, domains: 11 };
const DOCUMENTS = 34;
/** 2,400 changes a day. */
const CHANGE_PERIOD_MS = 36_000;
const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 10_000;

const bytesOf = (fleet: VirtualFleet): readonly number[] =>
  fleet.hosts.map(({ address }) => {
    const { datagramBytes, callBytes, storeBytes } = fleet.network.traffic(address.hostId);
    return datagramBytes + callBytes + storeBytes;
  });

const totalOf = (fleet: VirtualFleet, field: 'datagramBytes' | 'callBytes' | 'storeBytes' | 'storeCalls'): number =>
  fleet.hosts.reduce((sum, { address }) => sum + fleet.network.traffic(address.hostId)[field], 0);

const acceptAll = async (fleet: VirtualFleet): Promise<void> => {
  for (let index = 0; index < DOCUMENTS; index += 1) {
    fleet.accept(`service-${index}`, `first-${index}`).catch(() => undefined);
    await fleet.run(100);
  }
  await fleet.run(WARM_UP_MS);
};

const measureSize = async (
  hosts: number,
  domains: number,
  { seed, durationMs }: { readonly seed: number; readonly durationMs: number },
): Promise<{ readonly mean: number; readonly figures: readonly Figure[] }> => {
  const fleet = createVirtualFleet({ hosts, domains, seed });
  await fleet.run(WARM_UP_MS);
  await acceptAll(fleet);
  const kinds = ['datagramBytes', 'callBytes', 'storeBytes', 'storeCalls'] as const;
  const before = bytesOf(fleet);
  const kindsBefore = kinds.map((kind) => totalOf(fleet, kind));
  for (let atMs = 0; atMs < durationMs; atMs += CHANGE_PERIOD_MS) {
    fleet.accept(`service-${Math.floor(fleet.random() * DOCUMENTS)}`, `change-${atMs}`).catch(() => undefined);
    await fleet.run(CHANGE_PERIOD_MS);
  }
  const seconds = durationMs / MS_PER_SECOND;
  const rates = bytesOf(fleet).map((bytes, index) => (bytes - (before[index] ?? 0)) / seconds);
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / hosts;
  const name = `${hosts} hosts in ${domains} domains`;
  fleet.close();
  return {
    mean,
    figures: [
      { name: `${name}, mean`, value: mean, unit: 'B/s' },
      { name: `${name}, busiest host`, value: Math.max(...rates), unit: 'B/s' },
      ...kinds.map((kind, index) => ({
        name: `${name}, ${kind} of a host`,
        value: (totalOf(fleet, kind) - (kindsBefore[index] ?? 0)) / seconds / hosts,
        unit: kind === 'storeCalls' ? '1/s' : 'B/s',
      })),
    ],
  };
};

/** Control traffic of a host, sent and received, with 34 documents of 4 KB and 2,400 changes a day. */
const measureCost: Measure = async ({ seed, quick }) => {
  const figures: Figure[] = [];
  const points: { x: number; y: number }[] = [];
  const durationMs = quick ? CHANGE_PERIOD_MS : 10 * CHANGE_PERIOD_MS;
  for (const hosts of quick ? SIZES.slice(0, 3) : SIZES) {
    const result = await measureSize(hosts, DOMAINS, { seed, durationMs });
    points.push({ x: hosts, y: result.mean });
    figures.push(...result.figures);
  }
  const line = fitLine(points);
  const { value, error } = line.predict(TARGET.hosts);
  figures.push(
    { name: 'slope', value: line.slope, unit: 'B/s per host' },
    { name: `fitted at ${TARGET.hosts}`, value, unit: 'B/s' },
    { name: `standard error at ${TARGET.hosts}`, value: error, unit: 'B/s' },
  );
  return { measurement: 'cost', seed, figures };
};

/** The same traffic at the target size, without a fit; takes minutes. */
export const measureTargetCost: Measure = async ({ seed }) => {
  const { hosts, domains } = TARGET;
  const { figures } = await measureSize(hosts, domains, { seed, durationMs: CHANGE_PERIOD_MS });
  return { measurement: 'target-cost', seed, figures };
};

export default measureCost;
