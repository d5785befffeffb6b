import { createSocket } from 'node:dgram';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createSystemClock } from '@bergamotcove/clock';
import { acceptDocument, createStoreClient } from '@bergamotcove/backends';
import { startHostList, startStore, type StandinHost } from '@bergamotcove/standins';
import { builtScript } from '../deployment/paths.js';
import startProcess from '../deployment/startProcess.js';
import { createDocument } from './_lib/createDocument.js';
import type { Figure, Measure } from './types.js';

const ADDRESS = '127.0.0.1';
const PLACE = { address: ADDRESS, port: 0 };
const TARGET = { hosts: 410, domains: 11, documents: 34, servers: 1_700 };
const RUN_MS = 30_000;
const QUICK_RUN_MS = 3_000;
const KB_PER_MB = 1_000;
const CLOCK_TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 13;

/** What the process under measurement knows. */
interface Setting {
  readonly name: string;
  readonly hosts: number;
  readonly documents: number;
  readonly servers: number;
}

const SETTINGS: readonly Setting[] = [
  { name: 'idle', hosts: 1, documents: 0, servers: 0 },
  { name: '410 members and 34 documents', hosts: TARGET.hosts, documents: TARGET.documents, servers: 0 },
  { name: '410 members, 34 documents and 1,700 servers in the list', ...TARGET },
];

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const readField = (pid: number, field: string): number => {
  const line = readFileSync(`/proc/${pid}/status`, 'utf8')
    .split('\n')
    .find((text) => text.startsWith(`${field}:`));
  return Number(/\d+/u.exec(line ?? '')?.[0] ?? 0) / KB_PER_MB;
};

const readCpuSeconds = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1])) / CLOCK_TICKS_PER_SECOND;
};

/** Entries whose addresses end at a socket that swallows datagrams; nothing listens for calls. */
const listHosts = (setting: Setting, sinkPort: number): readonly StandinHost[] => {
  const place = (index: number) => ({
    address: ADDRESS,
    failureDomain: `domain-${index % TARGET.domains}`,
    region: `region-${(index % TARGET.domains) % 5}`,
  });
  const entries = Array.from({ length: setting.hosts - 1 }, (_, index) => ({
    id: `entry-${index + 1}`,
    role: 'entry' as const,
    port: sinkPort,
    peerPort: sinkPort,
    ...place(index + 1),
  }));
  const servers = Array.from({ length: setting.servers }, (_, index) => ({
    id: `server-${index}`,
    role: 'server' as const,
    port: sinkPort,
    pool: `pool-${index % 30}`,
    ...place(index),
  }));
  return [...entries, ...servers];
};

const writeSettings = (dir: string, storePort: number, listPort: number): string => {
  const settings = {
    host: { id: 'entry-0', address: ADDRESS, failureDomain: 'domain-0', region: 'region-0' },
    callers: { port: 0 },
    peers: { port: 0, keys: [{ id: 'k1', secret: 'measurement-peer-secret' }] },
    store: { urls: [`http://${ADDRESS}:${storePort}`] },
    hostList: { url: `http://${ADDRESS}:${listPort}/v1/hosts` },
    log: { namespaces: 'bergamot:*:error' },
  };
  const file = path.join(dir, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  return file;
};

const runDaemon = async (setting: Setting, file: string, runMs: number): Promise<readonly Figure[]> => {
  const daemon = await startProcess('bergamotd', [builtScript('entry', 'main.js'), '--settings', file]);
  await wait(runMs);
  const startSeconds = readCpuSeconds(daemon.pid);
  await wait(runMs);
  const cpuRatio = (readCpuSeconds(daemon.pid) - startSeconds) / (runMs / 1_000);
  const figures: readonly Figure[] = [
    { name: `${setting.name}, resident`, value: readField(daemon.pid, 'VmRSS'), unit: 'MB' },
    { name: `${setting.name}, resident peak`, value: readField(daemon.pid, 'VmHWM'), unit: 'MB' },
    { name: `${setting.name}, processor time`, value: cpuRatio * 100, unit: '% of a core' },
  ];
  daemon.signal('SIGKILL');
  await daemon.exited;
  return figures;
};

const measureSetting = async (setting: Setting, runMs: number): Promise<readonly Figure[]> => {
  const dir = mkdtempSync(path.join(tmpdir(), 'bergamot-memory-'));
  const sink = createSocket('udp4');
  await new Promise<void>((resolve) => {
    sink.bind(0, ADDRESS, resolve);
  });
  const store = await startStore(PLACE, { clock: createSystemClock() });
  const list = await startHostList(PLACE, { hosts: listHosts(setting, sink.address().port) });
  const operator = createStoreClient({ urls: [`http://${ADDRESS}:${store.port}`], timeoutMs: 1_000 });
  try {
    for (let index = 0; index < setting.documents; index += 1) {
      const facts = { changeId: `c${index}`, acceptedBy: 'bench', acceptedAtMs: 0 };
      await acceptDocument(operator, createDocument(`service-${index}`), facts);
    }
    return await runDaemon(setting, writeSettings(dir, store.port, list.port), runMs);
  } finally {
    operator.close();
    sink.close();
    await Promise.all([store.close(), list.close()]);
    rmSync(dir, { recursive: true });
  }
};

/** Memory and processor time of one `bergamotd` alone, without requests; its members are listed and do not answer. */
const measureMemory: Measure = async ({ seed, quick }) => {
  const figures: Figure[] = [];
  for (const setting of SETTINGS) {
    figures.push(...(await measureSetting(setting, quick ? QUICK_RUN_MS : RUN_MS)));
  }
  return { measurement: 'memory', seed, figures };
};

export default measureMemory;
