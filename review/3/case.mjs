/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-bitwise: "off", max-classes-per-file: "off", no-restricted-syntax: "off", no-param-reassign: "off" */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { send } from '../lib/client.mjs';
import { awaitReady, endHosts, startHost } from '../lib/hosts.mjs';
import { ModelServer, StageServer } from '../lib/servers.mjs';
import Store from '../lib/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Requests a second, all the time; the stage servers make the pieces of 9.5 a second. */
const RATE = 12;
const TERM_MS = 10_000;
const TRAFFIC_MS = 18_000;
/** Time after SIGTERM at which the platform has stopped to send new connections: two missed questions. */
const ROTATION_MS = 2000;
const TIMEOUT_MS = 15_000;
const PIECES = '4';
const LOSS_SLACK_MS = 200;
const GRACE_MS = 8000;

const started = performance.now();
const lines = [];
const at = (ms) => ((ms - started) / 1000).toFixed(3);
const record = (text, ms = performance.now()) => lines.push(`${at(ms)} ${text}`);

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
const store = await new Store().listen();
/** Last time at which a server worked on each request. */
const workedAt = new Map();
const common = { zone: 'zone-a', store, record: () => undefined };
const spec = { slots: 1, queue: 2, batch: 7, callMs: 200, itemMs: 24, headroomMb: 15.75, handleS: 4, linkMbps: 10_000 };
const stages = [];
for (let index = 0; index < 2; index += 1) {
  stages.push(await new StageServer({ ...common, id: `i-stage${index}`, service: 'stage', spec }).start());
}
const models = [];
for (let index = 0; index < 2; index += 1) {
  models.push(
    await new ModelServer({ ...common, id: `i-model${index}`, service: 'model', stages, events: 20 }).start(),
  );
}
stages.forEach((server) => {
  const run = server.run.bind(server);
  Object.assign(server, {
    run: async (items, request, response) => {
      await run(items, request, response);
      items.forEach(({ id }) => workedAt.set(id, performance.now()));
    },
  });
});
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
      stages: [{ service: 'stage', after: [], bytes: 1_500_000 }],
    },
  ],
  services: [
    { name: 'model', healthPath: '/health', maxConnections: 280, engine: { slots: 64, kvCapacity: 326_991 } },
    { name: 'stage', healthPath: '/health', maxConnections: 280, pieces: spec },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 10_000 },
});
const hosts = [];
for (let number = 1; number <= 3; number += 1) {
  hosts.push(await startHost({ number, folder, store, zone: 'zone-a', zones: { 'zone-a': 'region-a' } }));
}
const finish = async (code) => {
  await endHosts(hosts);
  [...stages, ...models].forEach((server) => server.close());
  store.close();
  fs.writeFileSync(path.join(import.meta.dirname, 'record.txt'), `${lines.join('\n')}\n`);
  fs.rmSync(folder, { recursive: true });
  process.exit(code);
};
if (!(await awaitReady(hosts))) {
  record('the hosts did not become ready');
  await finish(2);
}
await wait(1500);
const answers = [];
const trafficAt = performance.now();
let termAt = Infinity;
for (let count = 0; performance.now() - trafficAt < TRAFFIC_MS; count += 1) {
  const now = performance.now();
  if (HAS_TROUBLE && termAt === Infinity && now - trafficAt > TERM_MS) {
    hosts[0].child.kill('SIGTERM');
    termAt = now;
    record('SIGTERM to host 1');
  }
  const rotation = now < termAt + ROTATION_MS ? hosts : hosts.slice(1);
  const host = rotation[count % rotation.length];
  const pieceKey = count.toString(16).padStart(12, '0');
  answers.push(
    send(host, {
      path: '/chat/2f',
      deadlineMs: TIMEOUT_MS,
      body: `{"prompt":"${pieceKey}"}`,
      headers: {
        'X-Model': 'm',
        'X-Token-Counts': '700,80',
        'X-Prompt-Prefix': `a0:100,b${(count % 20).toString(16)}:60,${pieceKey}:540`,
        'X-Pieces': PIECES,
        'X-Piece-Key': pieceKey,
      },
    }).then((answer) => ({ ...answer, host })),
  );
  await wait((-Math.log(1 - Math.random()) * 1000) / RATE);
}
const seen = await Promise.all(answers);
const ran = new Set(models.flatMap(({ runs }) => runs.map(({ id }) => id)));
let broken = 0;
const tally = {};
seen.forEach(({ id, host, sentAt, endedAt, status, closed }) => {
  const key = `host ${host.number}: ${closed ? 'closed' : status}`;
  tally[key] = (tally[key] ?? 0) + 1;
  const worked = workedAt.get(id) ?? -Infinity;
  const waitedMs = endedAt - sentAt;
  // The rule's excuses: a server was still at work in the last sixth of graceS, or the time was used up.
  const excused = ran.has(id) || worked > termAt + (GRACE_MS * 5) / 6 || waitedMs >= TIMEOUT_MS - LOSS_SLACK_MS;
  const made = worked > 0 ? `, pieces made until ${at(worked)}` : '';
  const outcome = closed ? 'connection ended without a complete answer' : status;
  record(`sent ${id} to host ${host.number} at ${at(sentAt)}: ${outcome}${ran.has(id) ? ', ran' : ''}${made}`, endedAt);
  if (closed && !excused && waitedMs > LOSS_SLACK_MS) {
    broken += 1;
    record(
      `BROKEN ${id}: read whole, never passed on, cut ${(waitedMs / 1000).toFixed(1)} s after it was sent`,
      endedAt,
    );
  }
});
const exit = hosts[0].exitedAt === undefined ? 'still runs' : `ended at ${at(hosts[0].exitedAt)}`;
record(`${seen.length} requests, host 1 ${exit}, ${broken} cut; ${JSON.stringify(tally)}`);
console.log(lines.at(-1));
await finish(broken > 0 ? 1 : 0);
