import assert from 'node:assert/strict';
import { test } from 'node:test';
import explainRequest from './explainRequest.js';

const line = (time: number, name: string, fields: object, prefix = ''): string =>
  `${prefix}${JSON.stringify({ level: 'info', time, event: 1, name, hostId: 'a1', ...fields })}`;

const LOG = [
  'started by init',
  line(500, 'peerSilent', { level: 'warn', peer: 'a9' }),
  line(9_000, 'serverGone', { serverId: 's1', hostId: 'a2' }),
  line(9_500, 'schedulerLost', { level: 'warn', peer: 'a2' }, '  12.5 a1 '),
  line(9_600, 'schedulerLost', { level: 'warn', hostId: 'a3' }),
  line(10_400, 'requestEnded', {
    requestId: 'r1',
    outcome: 'failed',
    status: 502,
    reason: 'attempts-exhausted',
    serverIds: ['s1', 's2'],
    totalMs: 400,
  }),
  line(10_200, 'attemptEnded', { requestId: 'r1', serverId: 's1', end: 'unknown', decision: 'send-again' }),
  line(10_300, 'requestEnded', { requestId: 'r2', outcome: 'answered', status: 200, reason: 'answered' }),
  '{"broken',
].join('\n');

test('sorts the lines of the request by time and names the cause', () => {
  const { own, cause } = explainRequest(LOG, 'r1');
  assert.deepEqual(
    own.map(({ name }) => name),
    ['attemptEnded', 'requestEnded'],
  );
  assert.match(cause ?? '', /^status 502: its attempts gave no answer/);
});

test('adds the lines of its hosts and servers from shortly before', () => {
  const { around } = explainRequest(LOG, 'r1');
  assert.deepEqual(
    around.map(({ name, hostId }) => `${name} ${hostId}`),
    ['serverGone a2', 'schedulerLost a1'],
  );
});

test('returns no lines and no cause for a request that is not in the logs', () => {
  assert.deepEqual(explainRequest(LOG, 'r9'), { own: [], around: [], cause: undefined });
});
