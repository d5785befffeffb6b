/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-restricted-syntax: "off" */
/**
 * Stand-in of one backend server, a process of its own. It reports to its parent what arrives and what it has run, and
 * ends with its parent. The path of a request tells what the server does: `/plain/MS` answers after MS, `/events/N/MS`
 * sends N events, one each MS. Each `unframedEvery`-th answer, from the first on, has no length and ends with its
 * connection; 0 for none. `/fatal/MS` is answered with a success, and the server crashes MS later.
 */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

const { serverId, host, unframedEvery = 0 } = JSON.parse(process.argv[2]);
const born = Date.now();
let answers = 0;

const report = (event) => process.send?.({ atMs: Date.now(), serverId, ...event });

const rejectRequest = (response, id, status) => {
  response.writeHead(status, { 'X-Attempt-Id': id, 'X-Not-Executed': '1', 'Content-Length': 0 });
  response.end();
};

const formatEvent = (number) => `id: ${number}\ndata: piece ${number}\n\n`;

const frame = (isUnframed, length) => {
  if (isUnframed) {
    return { Connection: 'close' };
  }
  return length === undefined ? { 'Transfer-Encoding': 'chunked' } : { 'Content-Length': length };
};

const runPlain = async ({ id, response, isUnframed, ms }) => {
  const body = `answer of ${serverId} to ${id} `.repeat(8);
  const head = { 'X-Attempt-Id': id, 'X-Response-Seal': `seal-${id}`, 'Content-Type': 'text/plain' };
  await delay(ms);
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, { ...head, ...frame(isUnframed, body.length) });
  response.end(body);
  report({ type: 'ran', id, body });
};

const runEvents = async ({ id, response, isUnframed, count, ms, after }) => {
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, {
    'X-Attempt-Id': id,
    'X-Response-Seal': `seal-${id}`,
    'Content-Type': 'text/event-stream',
    ...frame(isUnframed),
  });
  for (let number = after + 1; number <= count && !response.destroyed; number += 1) {
    await delay(ms);
    response.write(formatEvent(number));
    report({ type: 'event', id, number });
  }
  response.end();
  report({ type: 'ran', id });
};

const runFatal = async ({ id, response, ms }) => {
  const body = `answer of ${serverId} to ${id}`;
  const head = { 'X-Attempt-Id': id, 'X-Response-Seal': `seal-${id}`, 'Content-Length': body.length };
  response.writeHead(200, head);
  response.end(body);
  await delay(ms);
  process.kill(process.pid, 'SIGKILL');
};

const server = http.createServer(async (request, response) => {
  response.sendDate = false;
  const url = new URL(request.url, 'http://server');
  const parts = url.pathname.split('/').filter(Boolean);
  if (url.pathname === '/v1/report') {
    const body = JSON.stringify({ stage: 'both', models: [], busy: false, seq: 1, queued: 0, active: 0, born });
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': body.length });
    response.end(body);
    return;
  }
  if (parts.at(-1) === 'health') {
    response.writeHead(200, { 'X-Instance-Id': serverId, 'Content-Length': 0 });
    response.end();
    return;
  }
  const id = String(request.headers['x-attempt-id'] ?? '');
  const expected = request.headers['x-expect-instance'];
  request.resume();
  await new Promise((resolve) => {
    request.once('end', resolve);
  });
  if (expected !== undefined && expected !== serverId) {
    rejectRequest(response, id, 421);
    return;
  }
  if (id === '') {
    rejectRequest(response, id, 400);
    return;
  }
  const isUnframed = unframedEvery > 0 && answers % unframedEvery === 0;
  answers += 1;
  report({ type: 'arrived', id, path: request.url, isUnframed });
  const at = Math.max(parts.indexOf('plain'), parts.indexOf('events'));
  const after = Number(request.headers['last-event-id'] ?? 0);
  if (parts.includes('fatal')) {
    await runFatal({ id, response, ms: Number(parts.at(-1)) });
    return;
  }
  const run =
    parts[at] === 'events'
      ? runEvents({ id, response, isUnframed, count: Number(parts[at + 1]), ms: Number(parts[at + 2]), after })
      : runPlain({ id, response, isUnframed, ms: Number(parts[at + 1]) });
  await run.catch(() => undefined);
});
server.keepAliveTimeout = 20_000;

process.on('disconnect', () => process.exit(0));
process.on('message', (message) => {
  if (message === 'exit') {
    process.exit(0);
  }
});
server.listen(0, host, () => report({ type: 'listening', port: server.address().port, born }));
