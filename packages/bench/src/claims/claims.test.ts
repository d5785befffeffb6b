import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { HttpResponse } from '@bergamotcove/transport';
import startClaimHosts, { type ClaimHosts, type ClaimHostsOptions } from './startClaimHosts.js';

const start = async (context: TestContext, options: ClaimHostsOptions): Promise<ClaimHosts> => {
  const hosts = await startClaimHosts(options);
  context.after(() => hosts.close());
  return hosts;
};

interface Answer {
  readonly status: number;
  readonly outcome?: string;
  readonly title?: string;
  readonly output?: unknown;
  readonly retryAfterMs?: number;
}

const parseAnswer = (response: HttpResponse): Answer => ({
  ...(JSON.parse(response.body) as object),
  status: response.status,
});

const pause = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const countExecutions = (hosts: ClaimHosts, key: string): number => hosts.ledger.executions.get(key) ?? 0;

test('resends on every host wait for the running request and get its answer; the call runs once', async (t) => {
  const hosts = await start(t, { hosts: 3, serviceMs: 150 });
  const answers = (await Promise.all([0, 1, 2, 1, 0].map((host) => hosts.post(host, { key: 'k' })))).map(parseAnswer);
  const later = parseAnswer(await hosts.post(2, { key: 'k' }));
  assert.deepEqual([...new Set(answers.map((answer) => answer.status))], [200], JSON.stringify(answers));
  assert.equal(new Set([...answers, later].map((answer) => JSON.stringify(answer.output))).size, 1);
  assert.equal(countExecutions(hosts, 'k'), 1);
});

test('the same key with another body is refused on every host and gets no answer of the first request', async (t) => {
  const hosts = await start(t, { hosts: 2 });
  await hosts.post(0, { key: 'k', input: 'first' });
  const answers = await Promise.all([0, 1].map((host) => hosts.post(host, { key: 'k', input: 'second' })));
  assert.deepEqual(
    answers.map(parseAnswer).map(({ status, outcome }) => [status, outcome]),
    [
      [422, 'not-run'],
      [422, 'not-run'],
    ],
  );
});

test('after the host crashed during the call, the outcome is unknown and the call is not repeated', async (t) => {
  const hosts = await start(t, { hosts: 3, serviceMs: 300 });
  const first = hosts.post(0, { key: 'k' }).catch(() => undefined);
  await pause(150);
  hosts.hosts[0]?.abort();
  hosts.removeFromHostList(0);
  await first;
  await pause(200);
  const resends = (await Promise.all([1, 2].map((host) => hosts.post(host, { key: 'k' })))).map(parseAnswer);
  assert.deepEqual(
    resends.map(({ outcome, title }) => [outcome, title]),
    [
      ['unknown', 'outcome-unknown'],
      ['unknown', 'outcome-unknown'],
    ],
  );
  assert.equal(countExecutions(hosts, 'k'), 1);
});

test('a status query determines the outcome of a call whose host crashed', async (t) => {
  const hosts = await start(t, { hosts: 2, serviceMs: 300, once: { statusQuery: true } });
  const first = hosts.post(0, { key: 'k' }).catch(() => undefined);
  await pause(150);
  hosts.hosts[0]?.abort();
  hosts.removeFromHostList(0);
  await first;
  await pause(200);
  const resend = parseAnswer(await hosts.post(1, { key: 'k' }));
  assert.deepEqual([resend.outcome, resend.title, countExecutions(hosts, 'k')], ['ran', 'answer-dropped', 1]);
});

test('without the store a claim waits and is refused as unknown; a resend runs once after the store recovers', async (t) => {
  const hosts = await start(t, { hosts: 2, deadlineMs: 600 });
  hosts.store.setFaults([{ type: 'down' }]);
  const refused = parseAnswer(await hosts.post(0, { key: 'k' }));
  // This host never read the log of the key, so an earlier request with the same key may have run.
  assert.deepEqual([refused.outcome, refused.title], ['unknown', 'store-unavailable']);
  assert.equal(typeof refused.retryAfterMs, 'number');
  const draft = await hosts.post(0, { key: 'd', operation: 'draft' });
  assert.equal(draft.status, 200, 'an idempotent request does not need the store');
  hosts.store.setFaults([]);
  await pause(600);
  const resend = parseAnswer(await hosts.post(1, { key: 'k' }));
  assert.deepEqual([resend.status, countExecutions(hosts, 'k')], [200, 1], JSON.stringify(resend));
});

test('a store that recovers within the deadline delays the request but causes no refusal', async (t) => {
  const hosts = await start(t, { hosts: 2, deadlineMs: 2_000 });
  hosts.store.setFaults([{ type: 'down' }]);
  const answer = hosts.post(0, { key: 'k' });
  await pause(500);
  hosts.store.setFaults([]);
  assert.equal((await answer).status, 200);
  assert.equal(countExecutions(hosts, 'k'), 1);
});

test('services whose servers check keys keep working without the store', async (t) => {
  const hosts = await start(t, { hosts: 2, once: { serversCheckKeys: true } });
  hosts.store.setFaults([{ type: 'down' }]);
  const answers = await Promise.all([0, 1].map((host) => hosts.post(host, { key: 'k' })));
  assert.deepEqual(
    answers.map(({ status }) => status),
    [200, 200],
  );
  assert.equal(countExecutions(hosts, 'k'), 1);
});

test('a lost store reply neither loses a claim nor runs a call twice', async (t) => {
  // The process of this test runs hosts, servers and store; createClaimLogs.test.ts bounds the time on its own clock.
  const hosts = await start(t, { hosts: 3, deadlineMs: 60_000 });
  // Reads alone would use up the first fault.
  hosts.store.setFaults([
    { type: 'reply-lost', times: 20 },
    { type: 'reply-lost', times: 20, writePrefix: '/bergamot/claims' },
  ]);
  const keys = Array.from({ length: 30 }, (_, index) => `k${index}`);
  const answers = await Promise.all(
    keys.flatMap((key, index) => [0, 1].map((n) => hosts.post((index + n) % 3, { key }))),
  );
  assert.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
  assert.deepEqual([...new Set(keys.map((key) => countExecutions(hosts, key)))], [1]);
});

test('a not-run refusal releases the key, so a resend on another host runs', async (t) => {
  const hosts = await start(t, { hosts: 2 });
  hosts.callServers.forEach((server) => server.setFaults([{ type: 'leaving', times: 1 }]));
  const first = parseAnswer(await hosts.post(0, { key: 'k', deadlineMs: 400 }));
  hosts.callServers.forEach((server) => server.setFaults([]));
  const second = parseAnswer(await hosts.post(1, { key: 'k' }));
  assert.deepEqual([first.outcome, second.status, countExecutions(hosts, 'k')], ['not-run', 200, 1]);
});

test('without the store, a host that has read the log of a key still refuses with not-run', async (t) => {
  const hosts = await start(t, { hosts: 1 });
  hosts.callServers.forEach((server) => server.setFaults([{ type: 'leaving', times: 1 }]));
  await hosts.post(0, { key: 'k', deadlineMs: 400 });
  hosts.callServers.forEach((server) => server.setFaults([]));
  hosts.store.setFaults([{ type: 'down' }]);
  const refused = parseAnswer(await hosts.post(0, { key: 'k', deadlineMs: 400 }));
  assert.deepEqual([refused.outcome, countExecutions(hosts, 'k')], ['not-run', 0]);
});

test('a call whose connection broke has the outcome unknown, for resends too', async (t) => {
  const hosts = await start(t, { hosts: 2 });
  hosts.callServers.forEach((server) => server.setFaults([{ type: 'reset-after', times: 1 }]));
  const first = parseAnswer(await hosts.post(0, { key: 'k' }));
  const second = parseAnswer(await hosts.post(1, { key: 'k' }));
  assert.deepEqual([first.outcome, second.outcome, countExecutions(hosts, 'k')], ['unknown', 'unknown', 1]);
});
