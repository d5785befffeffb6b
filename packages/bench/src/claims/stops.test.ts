import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { HttpResponse } from '@bergamotcove/transport';
import startClaimHosts, { type ClaimHosts, type ClaimHostsOptions } from './startClaimHosts.js';

const start = async (context: TestContext, options: ClaimHostsOptions): Promise<ClaimHosts> => {
  const hosts = await startClaimHosts(options);
  context.after(() => hosts.close());
  return hosts;
};

const parseAnswer = (
  response: HttpResponse,
): { readonly status: number; readonly outcome?: string; readonly title?: string } => ({
  ...(JSON.parse(response.body) as object),
  status: response.status,
});

const pause = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const readReadinessStatus = async (hosts: ClaimHosts, hostIndex: number): Promise<number> => {
  const target = { address: '127.0.0.1', port: hosts.hosts[hostIndex]?.callersPort ?? 0 };
  return (await hosts.http.send(target, { method: 'GET', path: '/readyz' })).status;
};

const isReachable = (hosts: ClaimHosts, port: number): Promise<boolean> =>
  hosts.http.send({ address: '127.0.0.1', port }, { method: 'GET', path: '/load' }).then(
    () => true,
    () => false,
  );

interface TokenEvent {
  readonly id: number;
  readonly event: string;
  readonly data: { readonly index?: number; readonly text?: string; readonly output?: { readonly text: string } };
}

const readEvents = (response: HttpResponse): readonly TokenEvent[] =>
  response.body
    .split('\n\n')
    .filter((block) => block !== '')
    .map((block) => {
      const [id = '', event = '', data = ''] = block.split('\n').map((line) => line.slice(line.indexOf(':') + 2));
      return { id: Number(id), event, data: JSON.parse(data) as TokenEvent['data'] };
    });

test('a request that crashed two servers is blocked on every host until an operator releases it', async (t) => {
  const hosts = await start(t, { hosts: 2 });
  const setPoisonFaults = () =>
    hosts.encoders.forEach((s) => s.setFaults([{ type: 'poison', marker: 'bad', delayMs: 300 }]));
  setPoisonFaults();
  const request = { operation: 'draft', input: 'bad' };
  const first = parseAnswer(await hosts.post(0, { ...request, key: 'a' }));
  assert.deepEqual([first.status, first.outcome, first.title], [422, 'not-run', 'poisoned']);
  const alive = await Promise.all(hosts.encoders.map((server) => isReachable(hosts, server.port)));
  assert.equal(alive.filter((up) => !up).length, 2, 'exactly two servers crash; the third never gets the request');
  await pause(400);
  const second = parseAnswer(await hosts.post(1, { ...request, key: 'b' }));
  assert.equal(second.title, 'poisoned', 'the other host also blocks the request');
  const other = await hosts.post(1, { operation: 'draft', input: 'good', key: 'c' });
  assert.equal(other.status, 200);
  hosts.encoders.forEach((server) => server.setFaults([]));
  const [block] = (await hosts.callPeer(1, 'operator.listPoison', {})) as readonly { readonly fingerprint: string }[];
  await hosts.callPeer(1, 'operator.releasePoison', { fingerprint: block?.fingerprint });
  await pause(100);
  assert.equal((await hosts.post(0, { ...request, key: 'd' })).status, 200);
});

test('connection resets by running servers do not block a request as poisoned', async (t) => {
  const hosts = await start(t, { hosts: 1 });
  hosts.encoders.forEach((server) => server.setFaults([{ type: 'reset-before', times: 1 }]));
  const request = { operation: 'draft', input: 'unlucky' };
  await hosts.post(0, { ...request, key: 'a' });
  hosts.encoders.forEach((server) => server.setFaults([]));
  assert.equal((await hosts.post(0, { ...request, key: 'b' })).status, 200);
});

test('a stream continues at the next token after its engine crashed, with no token lost or repeated', async (t) => {
  const hosts = await start(t, { hosts: 1, tokensPerAnswer: 30 });
  // Only one engine crashes: after a second crash the request would be blocked as poisoned.
  hosts.engines[0]?.setFaults([{ type: 'crash-after', atToken: 7, delayMs: 5_000 }]);
  const keys = Array.from({ length: 8 }, (_, index) => `s${index}`);
  const post = (key: string) => hosts.post(0, { key, operation: 'draft', stream: true });
  const streams = await Promise.all(keys.map(async (key) => readEvents(await post(key))));
  assert.equal(
    await isReachable(hosts, hosts.engines[0]?.port ?? 0),
    false,
    'the engine with the fault has not crashed, so it got no request',
  );
  streams.forEach((events) => {
    const tokens = events.filter(({ event }) => event === 'token');
    assert.deepEqual(
      tokens.map(({ data }) => data.index),
      Array.from({ length: 30 }, (_, index) => index),
    );
    assert.equal(events.at(-1)?.event, 'final');
    assert.equal(events.at(-1)?.data.output?.text, tokens.map(({ data }) => data.text).join(''));
  });
});

test('Last-Event-ID resumes a stream on its own host and is refused as not-run on another host', async (t) => {
  const hosts = await start(t, { hosts: 2, tokensPerAnswer: 10 });
  const request = { key: 's', operation: 'draft', stream: true };
  const whole = readEvents(await hosts.post(0, request));
  const rest = readEvents(await hosts.post(0, { ...request, lastEventId: 4 }));
  assert.deepEqual(rest, whole.slice(4));
  const elsewhere = parseAnswer(await hosts.post(1, { ...request, lastEventId: 4 }));
  assert.deepEqual([elsewhere.status, elsewhere.outcome], [409, 'not-run']);
});

test('a stream that cannot be resumed on another host is not refused as not-run while its own host may still run it', async (t) => {
  const hosts = await start(t, { hosts: 2, deadlineMs: 10_000 });
  hosts.encoders.forEach((server) => server.setFaults([{ type: 'slow', delayMs: 400 }]));
  const running = hosts.post(0, { key: 'k', stream: true });
  await pause(100);
  const elsewhere = parseAnswer(await hosts.post(1, { key: 'k', stream: true, lastEventId: 1 }));
  const [final] = readEvents(await running);
  assert.deepEqual([final?.event, hosts.ledger.executions.get('k')], ['final', 1]);
  assert.deepEqual([elsewhere.status, elsewhere.outcome], [409, 'unknown']);
});

test('a once request resumed on another host gets its recorded result as the final event', async (t) => {
  const hosts = await start(t, { hosts: 2 });
  const request = { key: 'k', stream: true };
  const [final] = readEvents(await hosts.post(0, request));
  const resumed = readEvents(await hosts.post(1, { ...request, lastEventId: 6 }));
  assert.deepEqual(
    resumed.map(({ id, event, data }) => [id, event, data.output]),
    [[7, 'final', final?.data.output]],
  );
});

test('a draining host accepts requests during the balancer lag, finishes them and then closes', async (t) => {
  const hosts = await start(t, { hosts: 2, serviceMs: 300, drain: { balancerLagMs: 300, timeoutMs: 2_000 } });
  const before = hosts.post(0, { key: 'before' });
  const drained = hosts.hosts[0]?.drain();
  await pause(50);
  assert.equal(await readReadinessStatus(hosts, 0), 503);
  const during = hosts.post(0, { key: 'during' });
  assert.deepEqual([(await before).status, (await during).status], [200, 200]);
  await drained;
  await assert.rejects(hosts.post(0, { key: 'after' }));
  const resend = await hosts.post(1, { key: 'during' });
  assert.equal(JSON.stringify(JSON.parse((await during).body).output), JSON.stringify(JSON.parse(resend.body).output));
});

test('a draining host hands outcomes that are not yet durable to another host, even without the store', async (t) => {
  const hosts = await start(t, { hosts: 2, serviceMs: 200, drain: { balancerLagMs: 10, timeoutMs: 1_500 } });
  const answer = hosts.post(0, { key: 'k' });
  await pause(120);
  hosts.store.setFaults([{ type: 'down' }]);
  assert.equal((await answer).status, 200);
  await hosts.hosts[0]?.drain();
  hosts.removeFromHostList(0);
  hosts.store.setFaults([]);
  await pause(600);
  const resend = await hosts.post(1, { key: 'k' });
  assert.equal(resend.status, 200, resend.body);
  assert.equal(hosts.ledger.executions.get('k'), 1);
});

test('a drain ends at its timeout even if a request has not finished', async (t) => {
  const hosts = await start(t, { hosts: 1, serviceMs: 1_800, drain: { balancerLagMs: 10, timeoutMs: 400 } });
  const stuck = hosts.post(0, { key: 'k' }).catch(() => undefined);
  await pause(50);
  const startedAtMs = performance.now();
  await hosts.hosts[0]?.drain();
  // 10 ms balancer lag and 400 ms drain timeout, plus 200 ms of tolerance for a busy test machine.
  assert.ok(performance.now() - startedAtMs < 610, `drained after ${performance.now() - startedAtMs} ms`);
  await stuck;
});
