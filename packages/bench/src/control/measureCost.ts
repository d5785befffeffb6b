import createVirtualFleet, { type VirtualFleet } from './_lib/createVirtualFleet.js';
import type { Traffic } from './_lib/createVirtualNetwork.js';
import fitLine from './_lib/fitLine.js';
import type { Figure, Measure } from './types.js';

const SIZES = [3, 9, 30, 60, 120];
const DOMAINS = 3;
const TARGET = { hosts: 410, domains: 11 };
const SERVERS_PER_HOST = 1_700 / 410;
const DOCUMENTS = 34;
/** 2,400 changes a day. */
const CHANGE_PERIOD_MS = 36_000;
/** Long enough for the exchanges of whole views that follow a start of all hosts at once. */
const SETTLE_MS = 45_000;
const TARGET_CHANGES = 2;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

const BYTES = ['datagramBytes', 'callBytes', 'storeBytes', 'listBytes'] as const;
const MESSAGES = ['datagrams', 'calls', 'storeCalls', 'listReads'] as const;

const sumOf = (traffic: Traffic, fields: readonly (keyof Traffic)[]): number =>
  fields.reduce((sum, field) => sum + traffic[field], 0);

/** Counters of every host at one time. */
const snapshot = (fleet: VirtualFleet): readonly Traffic[] =>
  fleet.hosts.map(({ address }) => ({ ...fleet.network.traffic(address.hostId) }));

const acceptAll = async (fleet: VirtualFleet): Promise<void> => {
  for (let index = 0; index < DOCUMENTS; index += 1) {
    fleet.accept(`service-${index}`, `first-${index}`).catch(() => undefined);
    await fleet.run(100);
  }
  await fleet.run(SETTLE_MS);
};

/** Runs the changes and returns the processor time that they took. */
const runChanges = async (fleet: VirtualFleet, changes: number): Promise<number> => {
  const cpu = process.cpuUsage();
  for (let change = 0; change < changes; change += 1) {
    fleet.accept(`service-${Math.floor(fleet.random() * DOCUMENTS)}`, `change-${change}`).catch(() => undefined);
    await fleet.run(CHANGE_PERIOD_MS);
  }
  const { user, system } = process.cpuUsage(cpu);
  return (user + system) / US_PER_MS;
};

interface SizeOptions {
  readonly domains: number;
  readonly seed: number;
  readonly changes: number;
}

interface SizeResult {
  readonly hosts: number;
  readonly bytes: number;
  readonly messages: number;
  readonly cpuPercent: number;
  readonly figures: readonly Figure[];
}

const measureSize = async (hosts: number, { domains, seed, changes }: SizeOptions): Promise<SizeResult> => {
  const fleet = createVirtualFleet({ hosts, domains, seed, servers: Math.round(hosts * SERVERS_PER_HOST) });
  await acceptAll(fleet);
  const before = snapshot(fleet);
  const cpuMs = await runChanges(fleet, changes);
  const after = snapshot(fleet);
  fleet.close();
  const seconds = (changes * CHANGE_PERIOD_MS) / MS_PER_SECOND;
  const ratesOf = (fields: readonly (keyof Traffic)[]): readonly number[] =>
    after.map((traffic, index) => (sumOf(traffic, fields) - sumOf(before[index] as Traffic, fields)) / seconds);
  const meanOf = (fields: readonly (keyof Traffic)[]): number =>
    ratesOf(fields).reduce((sum, rate) => sum + rate, 0) / hosts;
  const name = `${hosts} hosts in ${domains} domains`;
  const cpuPercent = (cpuMs / (seconds * MS_PER_SECOND) / hosts) * 100;
  return {
    hosts,
    bytes: meanOf(BYTES),
    messages: meanOf(MESSAGES),
    cpuPercent,
    figures: [
      { name: `${name}, mean`, value: meanOf(BYTES), unit: 'B/s' },
      { name: `${name}, busiest host`, value: Math.max(...ratesOf(BYTES)), unit: 'B/s' },
      ...BYTES.map((field) => ({ name: `${name}, ${field} of a host`, value: meanOf([field]), unit: 'B/s' })),
      { name: `${name}, messages sent by a host`, value: meanOf(MESSAGES), unit: '1/s' },
      ...MESSAGES.map((field) => ({ name: `${name}, ${field} of a host`, value: meanOf([field]), unit: '1/s' })),
      { name: `${name}, processor time of a host`, value: cpuPercent, unit: '% of a core' },
    ],
  };
};

const fitAtTarget = (name: string, unit: string, points: readonly { x: number; y: number }[]): readonly Figure[] => {
  const line = fitLine(points);
  const { value, error } = line.predict(TARGET.hosts);
  return [
    { name: `${name}, slope`, value: line.slope, unit: `${unit} per host` },
    { name: `${name}, fitted at ${TARGET.hosts}`, value, unit },
    { name: `${name}, standard error at ${TARGET.hosts}`, value: error, unit },
  ];
};

/**
 * Control traffic of a host, sent and received, with 34 documents of 4 KB and 2,400 changes a day. The processor time is
 * that of reducers, codec and virtual network; sockets and signatures are in the measurement `process`.
 */
const measureCost: Measure = async ({ seed, quick }) => {
  const results: SizeResult[] = [];
  for (const hosts of quick ? SIZES.slice(0, 3) : SIZES) {
    results.push(await measureSize(hosts, { domains: DOMAINS, seed, changes: quick ? 1 : 10 }));
  }
  const pointsOf = (field: 'bytes' | 'messages' | 'cpuPercent') =>
    results.map((result) => ({ x: result.hosts, y: result[field] }));
  const figures: readonly Figure[] = [
    ...results.flatMap((result) => result.figures),
    ...fitAtTarget('bytes', 'B/s', pointsOf('bytes')),
    ...fitAtTarget('messages', '1/s', pointsOf('messages')),
    ...fitAtTarget('processor time', '% of a core', pointsOf('cpuPercent')),
  ];
  return { measurement: 'cost', seed, figures };
};

/** The same traffic at the target size, without a fit. */
export const measureTargetCost: Measure = async ({ seed }) => {
  const { hosts, domains } = TARGET;
  const { figures } = await measureSize(hosts, { domains, seed, changes: TARGET_CHANGES });
  return { measurement: 'target-cost', seed, figures };
};

export default measureCost;
