import type { Settings } from '@bergamotcove/config';
import { createSystemClock } from '@bergamotcove/clock';
import { startEntryHost, type EntryHost } from '@bergamotcove/entry';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import { startHostList, startStore, type StandinHost } from '@bergamotcove/standins';
import { createHttpClient } from '@bergamotcove/transport';
import { createDocument } from './_lib/createDocument.js';
import fitLine from './_lib/fitLine.js';
import type { Figure, Measure } from './types.js';

const SIZES = [3, 9, 30, 60];
const QUICK_SIZES = [3, 6, 9];
const DOMAINS = 3;
const DOCUMENTS = 34;
const ADDRESS = '127.0.0.1';
const WARM_UP_MS = 5_000;
const RUN_MS = 15_000;
const QUICK_RUN_MS = 2_000;
const TARGET_HOSTS = 410;
const BYTES_PER_MB = 1_000_000;

interface Sample {
  readonly hosts: number;
  readonly cpuRatio: number;
  readonly rssBytes: number;
}

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const createSettings = (index: number, storePort: number, listPort: number): Settings => ({
  host: { id: `entry-${index}`, address: ADDRESS, failureDomain: `domain-${index % DOMAINS}`, region: 'region-0' },
  callers: { port: 0 },
  peers: { port: 0, keys: [{ id: 'k1', secret: 'measurement-peer-secret' }] },
  store: { urls: [`http://${ADDRESS}:${storePort}`], timeoutMs: 1_000 },
  hostList: { url: `http://${ADDRESS}:${listPort}/v1/hosts`, pollMs: 1_000 },
  drain: { balancerLagMs: 0, timeoutMs: 0 },
  trace: { sampleRatio: 0 },
});

const publish = async (port: number, hosts: readonly EntryHost[]): Promise<void> => {
  const listed: readonly StandinHost[] = hosts.map((host, index) => ({
    id: `entry-${index}`,
    role: 'entry',
    address: ADDRESS,
    port: host.callersPort,
    peerPort: host.peersPort,
    failureDomain: `domain-${index % DOMAINS}`,
    region: 'region-0',
  }));
  const http = createHttpClient();
  await http.send({ address: ADDRESS, port }, { method: 'POST', path: '/control/hosts', body: JSON.stringify(listed) });
  http.close();
};

const measureSize = async (hosts: number, runMs: number): Promise<Sample> => {
  const clock = createSystemClock();
  const place = { address: ADDRESS, port: 0 };
  const store = await startStore(place, { clock });
  const list = await startHostList(place, { hosts: [] });
  const operator = createStoreClient({ urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: 1_000 });
  for (let index = 0; index < DOCUMENTS; index += 1) {
    const facts = { changeId: `c${index}`, acceptedBy: 'bench', acceptedAtMs: 0 };
    await acceptDocument(operator, createDocument(`service-${index}`), facts);
  }
  const settings = Array.from({ length: hosts }, (_, index) => createSettings(index, store.port, list.port));
  const running = await Promise.all(settings.map((item) => startEntryHost(item)));
  await publish(list.port, running);
  await wait(WARM_UP_MS);
  const cpu = process.cpuUsage();
  await wait(runMs);
  const { user, system } = process.cpuUsage(cpu);
  const rssBytes = process.memoryUsage().rss;
  running.forEach((host) => host.abort());
  operator.close();
  await Promise.all([store.close(), list.close()]);
  return { hosts, cpuRatio: (user + system) / 1_000 / runMs / hosts, rssBytes };
};

/**
 * Processor time and memory of whole entry hosts over loopback sockets, without requests. All hosts, the store and the
 * host list share one process, so the shares of a host include theirs.
 */
const measureProcess: Measure = async ({ seed, quick }) => {
  const samples: Sample[] = [];
  for (const hosts of quick ? QUICK_SIZES : SIZES) {
    samples.push(await measureSize(hosts, quick ? QUICK_RUN_MS : RUN_MS));
  }
  const cpu = fitLine(samples.map(({ hosts, cpuRatio }) => ({ x: hosts, y: cpuRatio * 100 })));
  const memory = fitLine(samples.map(({ hosts, rssBytes }) => ({ x: hosts, y: rssBytes / BYTES_PER_MB })));
  const predicted = cpu.predict(TARGET_HOSTS);
  const figures: readonly Figure[] = [
    ...samples.flatMap(({ hosts, cpuRatio, rssBytes }) => [
      { name: `${hosts} hosts, processor time of a host`, value: cpuRatio * 100, unit: '% of a core' },
      { name: `${hosts} hosts, memory of the whole process`, value: rssBytes / BYTES_PER_MB, unit: 'MB' },
    ]),
    { name: 'processor time, slope', value: cpu.slope, unit: '% of a core per host' },
    { name: `processor time, fitted at ${TARGET_HOSTS}`, value: predicted.value, unit: '% of a core' },
    { name: `processor time, standard error at ${TARGET_HOSTS}`, value: predicted.error, unit: '% of a core' },
    { name: 'memory, empty process', value: memory.intercept, unit: 'MB' },
    { name: 'memory, one more host', value: memory.slope, unit: 'MB' },
  ];
  return { measurement: 'process', seed, figures };
};

export default measureProcess;
