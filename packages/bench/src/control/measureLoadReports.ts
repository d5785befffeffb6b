import { loadIntervalMs } from '@bergamotcove/decide';
import createLoopbackLoad, { type LoadCounters, type LoopbackLoad } from './_lib/createLoopbackLoad.js';
import fitLine from './_lib/fitLine.js';
import { quantile } from './_lib/summarise.js';
import type { Figure, Measure } from './types.js';

const SIZES = [3, 9, 30, 60];
const QUICK_SIZES = [3, 6, 9];
const SERVERS_PER_HOST = 4;
/** Size of a failure domain of the target, and two of them in a region. */
const TARGET = { domains: 2, hosts: 37, servers: 155 };
/** Request, answer and an acknowledgement of each, with IP and TCP headers of 52 bytes. */
const POLL_HEADER_BYTES = 4 * 52;
const POLLS_PER_SECOND_BEFORE = 2;
const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 4_000;
const MIN_RUN_MS = 10_000;
const INTERVALS = 6;
const SAMPLE_MS = 190;
const MEDIAN = 0.5;
const TAIL = 0.99;

interface Size {
  readonly domains: number;
  readonly hosts: number;
  readonly servers: number;
}

interface Sample {
  readonly polls: readonly number[];
  /** Bytes of one poll with its headers. */
  readonly bytesPerPoll: number;
  readonly sent: readonly number[];
  readonly received: readonly number[];
  readonly largestBytes: number;
  /** Sorted ages of reports of the own failure domain, and of the others. */
  readonly ownAges: readonly number[];
  readonly otherAges: readonly number[];
  readonly cpuPercent: number;
}

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const sampleAges = (fleet: LoopbackLoad, own: boolean): readonly number[] =>
  fleet.hosts.flatMap(({ address, view }) =>
    fleet.servers
      .filter(({ failureDomain }) => (failureDomain === address.failureDomain) === own)
      .map(({ serverId }) => view.ageMs(serverId) ?? Infinity),
  );

/** Reads ages for the given time. */
const watchAges = async (fleet: LoopbackLoad, runMs: number) => {
  const ownAges: number[] = [];
  const otherAges: number[] = [];
  const endMs = performance.now() + runMs;
  while (performance.now() < endMs) {
    await wait(SAMPLE_MS);
    sampleAges(fleet, true).forEach((age) => ownAges.push(age));
    sampleAges(fleet, false).forEach((age) => otherAges.push(age));
  }
  [ownAges, otherAges].forEach((ages) => ages.sort((a, b) => a - b));
  return { ownAges, otherAges };
};

const measureSize = async (size: Size): Promise<Sample> => {
  const fleet = await createLoopbackLoad(size);
  const { intervalMs } = loadIntervalMs(size.hosts, size.servers);
  await wait(WARM_UP_MS + intervalMs * 3);
  const before = fleet.hosts.map((host) => host.counters());
  const bytesBefore = fleet.pollBytes();
  const cpu = process.cpuUsage();
  const startedMs = performance.now();
  const ages = await watchAges(fleet, Math.max(MIN_RUN_MS, intervalMs * INTERVALS));
  const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
  const { user, system } = process.cpuUsage(cpu);
  const after = fleet.hosts.map((host) => host.counters());
  const rates = (field: keyof LoadCounters): readonly number[] =>
    after.map((one, index) => (one[field] - (before[index]?.[field] ?? 0)) / seconds);
  const polls = rates('polls');
  const pollBytes = (fleet.pollBytes() - bytesBefore) / seconds / fleet.hosts.length;
  await fleet.close();
  return {
    polls,
    bytesPerPoll: pollBytes / mean(polls) + POLL_HEADER_BYTES,
    sent: rates('sentBytes'),
    received: rates('receivedBytes'),
    largestBytes: Math.max(...after.map(({ largestBytes }) => largestBytes)),
    ...ages,
    cpuPercent: (user + system) / 10_000 / seconds / fleet.hosts.length,
  };
};

/** Bytes a second of each host, sent and received, polls included. */
const totalsOf = ({ sent, received, polls, bytesPerPoll }: Sample): readonly number[] =>
  sent.map((bytes, index) => bytes + (received[index] ?? 0) + (polls[index] ?? 0) * bytesPerPoll);

const describeAges = (name: string, ages: readonly number[]): readonly Figure[] =>
  ages.length === 0
    ? []
    : [
        { name: `${name}, p50`, value: quantile(ages, MEDIAN), unit: 'ms' },
        { name: `${name}, p99`, value: quantile(ages, TAIL), unit: 'ms' },
        { name: `${name}, worst`, value: ages.at(-1) ?? NaN, unit: 'ms' },
      ];

const describe = (size: Size, sample: Sample): readonly Figure[] => {
  const name = `${size.domains} x ${size.hosts} hosts, ${size.servers} servers each`;
  const allPoll = POLLS_PER_SECOND_BEFORE * size.servers * size.domains;
  return [
    { name: `${name}, polls of a host`, value: mean(sample.polls), unit: '1/s' },
    { name: `${name}, polls of a host if every host polls each 500 ms, calculated`, value: allPoll, unit: '1/s' },
    { name: `${name}, bytes if every host polls, calculated`, value: allPoll * sample.bytesPerPoll, unit: 'B/s' },
    { name: `${name}, bytes of one poll`, value: sample.bytesPerPoll, unit: 'B' },
    { name: `${name}, polls`, value: mean(sample.polls) * sample.bytesPerPoll, unit: 'B/s' },
    { name: `${name}, summaries sent, mean`, value: mean(sample.sent), unit: 'B/s' },
    { name: `${name}, summaries received, mean`, value: mean(sample.received), unit: 'B/s' },
    { name: `${name}, sent and received with polls, mean`, value: mean(totalsOf(sample)), unit: 'B/s' },
    { name: `${name}, sent and received with polls, busiest host`, value: Math.max(...totalsOf(sample)), unit: 'B/s' },
    { name: `${name}, largest datagram`, value: sample.largestBytes, unit: 'B' },
    ...describeAges(`${name}, age in the own failure domain`, sample.ownAges),
    ...describeAges(`${name}, age in the other failure domain`, sample.otherAges),
    { name: `${name}, processor time with the stand-ins`, value: sample.cpuPercent, unit: '% of a core a host' },
  ];
};

/**
 * Load reports over loopback sockets in one process: one failure domain of several sizes with 4 servers a host, and
 * two failure domains of the target size. Bytes of datagrams and of HTTP are counted; TCP and IP headers are assumed.
 */
const measureLoadReports: Measure = async ({ seed, quick }) => {
  const sizes = (quick ? QUICK_SIZES : SIZES).map((hosts) => ({
    domains: 1,
    hosts,
    servers: hosts * SERVERS_PER_HOST,
  }));
  const samples: { readonly size: Size; readonly sample: Sample }[] = [];
  for (const size of sizes) {
    samples.push({ size, sample: await measureSize(size) });
  }
  const line = fitLine(samples.map(({ size, sample }) => ({ x: size.hosts, y: mean(totalsOf(sample)) })));
  const fitted = line.predict(TARGET.hosts);
  const figures: Figure[] = [
    ...samples.flatMap(({ size, sample }) => describe(size, sample)),
    { name: 'sent and received with polls, slope', value: line.slope, unit: 'B/s per host' },
    { name: `sent and received with polls, fitted at ${TARGET.hosts}`, value: fitted.value, unit: 'B/s' },
    { name: `sent and received with polls, standard error at ${TARGET.hosts}`, value: fitted.error, unit: 'B/s' },
  ];
  if (!quick) {
    figures.push(...describe(TARGET, await measureSize(TARGET)));
  }
  return { measurement: 'load-reports', seed, figures };
};

export default measureLoadReports;
