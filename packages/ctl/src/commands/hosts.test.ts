import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TransportError } from '@bergamotcove/transport';
import runCli from '../cli/runCli.js';
import createTestPorts from '../testing/createTestPorts.js';
import type { CtlPorts } from '../types.js';
import COMMANDS from './index.js';

const A = 'http://10.0.0.7:7000';
const B = 'http://10.0.0.8:7000';
const TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736';

const run = async (callHost: CtlPorts['callHost'], ...argv: string[]) => {
  const ports = createTestPorts({ callHost });
  const exitCode = await runCli(COMMANDS, argv, ports);
  return { exitCode, text: ports.out.join('\n'), ports };
};

const status = (hostId: string, version: number): object => ({
  hostId,
  failureDomain: 'd1',
  region: 'r1',
  ready: true,
  draining: false,
  inFlight: 2,
  entryHosts: ['a', 'b'],
  services: [{ service: 'clerk', version }],
});

const span = (spanId: string, startMs: number, parentSpanId?: string): object => ({
  traceId: TRACE_ID,
  spanId,
  ...(parentSpanId === undefined ? {} : { parentSpanId }),
  name: spanId,
  startMs,
  durationMs: 10,
  ok: true,
  attributes: { hostId: 'a' },
});

test('status shows a host that does not answer and versions that differ', async () => {
  const { exitCode, text } = await run(
    (url) =>
      url === B
        ? Promise.reject(new TransportError('not-connected', 'no connection'))
        : Promise.resolve(status('a', url === A ? 1 : 2)),
    ...['status', '--host', A, '--host', B, '--host', 'http://10.0.0.9:7000'],
  );
  assert.equal(exitCode, 1);
  assert.match(text, /10\.0\.0\.8:7000 .*no answer/);
  assert.match(text, /clerk +1 +2 +versions differ/);
});

test('status lists versions that hosts reject and lost domains, so that a store that lost writes is noticed', async () => {
  const finding = { type: 'store-regressed', service: 'clerk', inForce: 7, offered: 5, source: 'store' };
  const { text } = await run(
    () => Promise.resolve({ ...status('a', 7), configFindings: [finding], lostDomains: ['d2'] }),
    ...['status', '--host', A, '--host', B],
  );
  assert.match(text, /service clerk: the store offers an older version .*in force 7, offered 5.*reported by a, a/);
  assert.match(text, /failure domain d2: lost/);
});

test('poison lists a block once for all hosts, and release succeeds when one host accepts the order', async () => {
  const listed = await run(
    (url) =>
      Promise.resolve(
        url === A ? [{ fingerprint: 'f1', remainingMs: 1_500 }] : [{ fingerprint: 'f1', remainingMs: 9 }],
      ),
    ...['poison', '--host', A, '--host', B],
  );
  assert.equal(listed.exitCode, 0);
  assert.match(listed.text, /f1 +2 s +2\n/);
  const release = (...failing: string[]) =>
    run(
      (url) =>
        failing.includes(url)
          ? Promise.reject(new TransportError('connection-lost', 'broken'))
          : Promise.resolve({ released: true }),
      ...['release', 'f1', '--host', A, '--host', B],
    );
  assert.equal((await release(B)).exitCode, 0);
  assert.equal((await release(A, B)).exitCode, 4);
});

test('limits lists a limit once, with the host that hands out its sends', async () => {
  const limit = { serverId: 's1', pool: 'p', requestsPerSecond: 0.5, learntFrom: 'answer', statedAgoMs: 10 };
  const { exitCode, text } = await run(
    (url) =>
      Promise.resolve([
        url === A
          ? { ...limit, sinceMs: 4_200, handsOut: false, sends: 0 }
          : { ...limit, learntFrom: 'a', sinceMs: 4_100, handsOut: true, sends: 3 },
      ]),
    ...['limits', '--host', A, '--host', B],
  );
  assert.equal(exitCode, 0);
  assert.match(text, new RegExp(`s1 +p +0.5 +5 s +answer +${B} +3`));
  const none = await run(() => Promise.resolve([]), ...['limits', '--host', A]);
  assert.equal(none.text, 'no server has stated a limit');
});

test('a drain order whose reply was lost ends with 4, one that never arrived with 1', async () => {
  const fail = (code: 'not-connected' | 'connection-lost') =>
    run(() => Promise.reject(new TransportError(code, 'broken')), 'drain', '--host', A);
  assert.equal((await fail('not-connected')).exitCode, 1);
  assert.equal((await fail('connection-lost')).exitCode, 4);
});

test('drain --wait ends when the host no longer accepts connections', async () => {
  let polls = 0;
  const { exitCode, text } = await run(
    (_, method) => {
      polls += 1;
      return method === 'operator.drain' || polls < 4
        ? Promise.resolve({ draining: true })
        : Promise.reject(new TransportError('not-connected', 'refused'));
    },
    ...['drain', '--host', A, '--wait'],
  );
  assert.equal(exitCode, 0);
  assert.match(text, /the host has stopped/);
});

test('trace joins the spans of several hosts and draws each span once, children below parents', async () => {
  const { exitCode, text } = await run(
    (url) => Promise.resolve(url === A ? [span('child', 5, 'root'), span('root', 0)] : [span('root', 0)]),
    ...['trace', TRACE_ID, '--host', A, '--host', B],
  );
  assert.equal(exitCode, 0);
  const lines = text.split('\n');
  assert.match(lines[0] ?? '', /2 spans, 15\.00 ms/);
  assert.match(lines[1] ?? '', /^root/);
  assert.match(lines[2] ?? '', /^ {2}child/);
});

test('an answer that does not match the schema is reported as a failure', async () => {
  const { exitCode, text } = await run(() => Promise.resolve({ odd: 1 }), 'status', '--host', A);
  assert.equal(exitCode, 1);
  assert.match(text, /does not match this version/);
});
