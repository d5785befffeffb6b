/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-restricted-syntax: "off" */
/** The store cuts the watches that wait, every 1.6 s; meanwhile the entry of a server is removed, which serves a little longer. */
import { writeFileSync } from 'node:fs';
import { BOOKING, formatConfig, HOSTS } from '../lib-2/config.mjs';
import { BOUNDS, sendRequest, Site, wait } from '../lib-2/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const TRAFFIC_MS = 15_000;
const REQUEST_EVERY_MS = 40;
const CUT_EVERY_MS = 1_800;
const CUTS = 2;
const FIRST_CUT_MS = 5_800;
const REMOVED_AT_MS = 6_000;
/** A server goes on for `drainMs` after its entry is removed, and a little longer, at times many seconds. */
const SERVES_ON_MS = BOUNDS.drainMs + 900;
const WORK_MS = 300;

const site = new Site();
const lines = [];
const note = (text) => lines.push(text);

const cutWatches = async () => {
  await wait(FIRST_CUT_MS);
  for (let cut = 0; cut < CUTS; cut += 1) {
    note(`${Date.now()} the store cuts ${site.store.watches.size} watches that wait`);
    site.store.cutWatches();
    await wait(CUT_EVERY_MS);
  }
};

const sendTraffic = async () => {
  const pending = [];
  for (let sent = 0; sent * REQUEST_EVERY_MS < TRAFFIC_MS; sent += 1) {
    const call =
      sent % 3 === 0
        ? { method: 'GET', hostName: 'status.example', target: `/status/plain/${WORK_MS}`, deadlineMs: 3_000 }
        : { hostName: 'book.example', target: `/book/plain/${WORK_MS}`, deadlineMs: 3_000 };
    pending.push(sendRequest(site.hosts[sent % HOSTS.length], call));
    await wait(REQUEST_EVERY_MS);
  }
  return Promise.all(pending);
};

const removeServer = async () => {
  await wait(REMOVED_AT_MS);
  site.store.remove('servers/i-3');
  const ackedAtMs = Date.now();
  note(`${ackedAtMs} the entry of i-3 is removed`);
  wait(SERVES_ON_MS).then(() => {
    note(`${Date.now()} i-3 exits`);
    site.servers.get('i-3').child.send('exit');
  });
  return ackedAtMs;
};

const run = async () => {
  const servers = ['i-1', 'i-2', 'i-3'].map((serverId, index) => ({
    serverId,
    service: BOOKING,
    zone: HOSTS[3 * index],
    slots: 6,
  }));
  await site.start({ hosts: HOSTS, config: formatConfig(), servers });
  await wait(BOUNDS.contactMs);
  const [answers, ackedAtMs] = await Promise.all([
    sendTraffic(),
    removeServer(),
    HAS_TROUBLE ? cutWatches() : undefined,
  ]);
  const sentBy = new Map(answers.map((answer) => [answer.id, answer]));
  const late = site.events.filter(
    ({ type, serverId, atMs }) => type === 'arrived' && serverId === 'i-3' && atMs > ackedAtMs + BOUNDS.drainMs,
  );
  late.forEach(({ id, atMs }) => {
    const { host, target, outcome, status, sentAtMs } = sentBy.get(id);
    note(
      `${id} ${target} sent to ${host} ${sentAtMs - ackedAtMs} ms after the removal, reaches i-3 ${atMs - ackedAtMs} ms after it: ${status ?? '-'} ${outcome}`,
    );
  });
  const after = answers.filter(({ sentAtMs }) => sentAtMs > ackedAtMs);
  const failed = after.filter(({ outcome, status }) => outcome !== 'answered' || status !== 200);
  failed.forEach(({ id, host, target, status, outcome }) =>
    note(`${id} ${target} to ${host}: ${status ?? '-'} ${outcome}`),
  );
  note(`${answers.length} requests sent, ${failed.length} after the removal got no success`);
  return late.length;
};

let code = 2;
try {
  const broken = await run();
  note(`${broken} requests reached the removed server later than drainMs: ${broken > 0 ? 'BROKEN' : 'held'}`);
  code = broken > 0 ? 1 : 0;
} catch (cause) {
  note(`could not run: ${cause.stack}`);
} finally {
  site.stop();
  writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
  console.log(lines.at(-1));
}
process.exit(code);
