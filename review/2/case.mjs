/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off" */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { send } from '../lib/client.mjs';
import { awaitReady, endHosts, startHost } from '../lib/hosts.mjs';
import { VersionedServer } from '../lib/servers.mjs';
import Store from '../lib/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOSTS = 2;
const CRASHES = 4;
const CRASH_EVERY_MS = 6000;
/** As in the site file: a quarter of the servers are down for 2 s; here one of four. */
const DOWN_MS = 2000;
const RATE = 8;
/** The rule: more than two streams. */
const ALLOWED = 2;

const started = performance.now();
const lines = [];
const record = (text) => lines.push(`${((performance.now() - started) / 1000).toFixed(3)} ${text}`);

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
const store = await new Store().listen();
const servers = [];
for (let index = 0; index < 4; index += 1) {
  const version = index < 2 ? 'v1' : 'v1.1';
  const options = { id: `i-model${index}`, service: 'model', zone: 'zone-a', store, record, version };
  servers.push(await new VersionedServer({ ...options, events: 30, gapMs: 60 }).start());
}
store.put('op/config', {
  version: 3,
  routes: [
    {
      name: 'chat',
      host: 'site.example',
      prefix: '/chat/',
      service: 'model',
      kind: 'streaming',
      canResume: true,
      timeoutMs: 15_000,
      sloMs: 1600,
      gapSloMs: 250,
      attempts: 2,
      priority: 2,
      sticky: true,
    },
  ],
  services: [{ name: 'model', healthPath: '/health', maxConnections: 280, engine: { slots: 64, kvCapacity: 326_991 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
});
const hosts = [];
for (let number = 1; number <= HOSTS; number += 1) {
  hosts.push(await startHost({ number, folder, store, zone: 'zone-a', zones: { 'zone-a': 'region-a' } }));
}
const finish = async (code) => {
  await endHosts(hosts);
  servers.forEach((server) => server.close());
  store.close();
  fs.writeFileSync(path.join(import.meta.dirname, 'record.txt'), `${lines.join('\n')}\n`);
  fs.rmSync(folder, { recursive: true });
  process.exit(code);
};
if (!(await awaitReady(hosts))) {
  record('the hosts did not become ready');
  await finish(2);
}
await wait(1000);
const trafficAt = performance.now();
const crash = async () => {
  for (let count = 0; HAS_TROUBLE && count < CRASHES; count += 1) {
    await wait(CRASH_EVERY_MS - (count === 0 ? 3000 : DOWN_MS));
    await servers[[0, 2, 1, 3][count % 4]].crash(DOWN_MS);
  }
};
const crashed = crash();
const answers = [];
for (let count = 0; performance.now() - trafficAt < CRASHES * CRASH_EVERY_MS; count += 1) {
  const session = count.toString(16).padStart(12, '0');
  answers.push(
    send(hosts[count % HOSTS], {
      path: '/chat/2f',
      deadlineMs: 15_000,
      body: `{"prompt":"${session}"}`,
      headers: { 'X-Model': 'm', 'X-Token-Counts': '700,120', 'X-Prompt-Prefix': `a0:100,${session}:600` },
    }),
  );
  await wait((-Math.log(1 - Math.random()) * 1000) / RATE);
}
const seen = await Promise.all(answers);
await crashed;
const versionsOf = (body) => [...body.matchAll(/^data: (.*)$/gm)].map(([, version]) => version);
const joined = seen.filter(({ body = '' }) => new Set(versionsOf(body)).size > 1);
joined.forEach(({ id, status, complete, headers, body }) => {
  const versions = versionsOf(body);
  const at = versions.findIndex((version) => version !== versions[0]);
  const seal = headers['x-response-seal'];
  record(
    `BROKEN ${id}: ${status}, seal ${seal}, complete ${complete}, ${at} events of ${versions[0]}, then ${versions[at]}`,
  );
});
const served = seen.filter(({ status, complete }) => status === 200 && complete).length;
record(`${seen.length} streams, ${served} served whole, ${joined.length} with events of two software versions`);
console.log(lines.at(-1));
await finish(joined.length > ALLOWED ? 1 : 0);
