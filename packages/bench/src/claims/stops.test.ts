import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { HttpResponse } from '@bergamotcove/transport';
import startClaimHosts, { type ClaimHosts, type ClaimHostsOptions } from './startClaimHosts.js';

const start = async (context: TestContext, options: ClaimHostsOptions): Promise<ClaimHosts> => {
  const hosts = await startClaimHosts(options);
  context.after(() => hosts.close());
  return hosts;
};

const read = (
  response: HttpResponse,
): { readonly status: number; readonly outcome?: string; readonly title?: string } => ({
  ...(JSON.parse(response.body) as object),
  status: response.status,
});

const pause = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const readReady = async (hosts: ClaimHosts, hostIndex: number): Promise<number> => {
  const target = { address: '127.0.0.1', port: hosts.hosts[hostIndex]?.callersPort ?? 0 };
  return (await hosts.http.send(target, { method: 'GET', path: '/readyz' })).status;
};

const isAlive = (hosts: ClaimHosts, port: number): Promise<boolean> =>
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

test('a crashing request stops after two servers on every host, and an operator can release it', async (t) => {
  const hosts = await start(t, { hosts: 2 });
  const arm = () => hosts.encoders.forEach((s) => s.setFaults([{ type: 'poison', marker: 'bad', delayMs: 300 }]));
  arm();
  const request = { operation: 'draft', input: 'bad' };
  const first = read(await hosts.post(0, { ...request, key: 'a' }));
  assert.deepEqual([first.status, first.outcome, first.title], [422, 'not-run', 'poisoned']);
  const alive = await Promise.all(hosts.encoders.map((server) => isAlive(hosts, server.port)));
  assert.equal(alive.filter((up) => !up).length, 2, 'two servers may crash, the third must not get the request');
  await pause(400);
  const second = read(await hosts.post(1, { ...request, key: 'b' }));
  assert.equal(second.title, 'poisoned', 'the other host must know of the block');
  const other = await hosts.post(1, { operation: 'draft', input: 'good', key: 'c' });
  assert.equal(other.status, 200);
  hosts.encoders.forEach((server) => server.setFaults([]));
  const [block] = (await hosts.callPeer(1, 'operator.listPoison', {})) as readonly { readonly fingerprint: string }[];
  await hosts.callPeer(1, 'operator.releasePoison', { fingerprint: block?.fingerprint });
  await pause(100);
  assert.equal((await hosts.post(0, { ...request, key: 'd' })).status, 200);
});

test('broken connections of living servers do not block a request', async (t) => {
  const hosts = await start(t, { hosts: 1 });
  hosts.encoders.forEach((server) => server.setFaults([{ type: 'reset-before', times: 1 }]));
  const request = { operation: 'draft', input: 'unlucky' };
  await hosts.post(0, { ...request, key: 'a' });
  hosts.encoders.forEach((server) => server.setFaults([]));
  assert.equal((await hosts.post(0, { ...request, key: 'b' })).status, 200);
});

test('a stream goes on at the next token after its engine crashed, so that no token is lost or doubled', async (t) => {
  const hosts = await start(t, { hosts: 1, tokensPerAnswer: 30 });
  // One engine only: a second crash under the same request would rightly stop it as poisoned.
  hosts.engines[0]?.setFaults([{ type: 'crash-after', atToken: 7, delayMs: 5_000 }]);
  const keys = Array.from({ length: 8 }, (_, index) => `s${index}`);
  const post = (key: string) => hosts.post(0, { key, operation: 'draft', stream: true });
  const streams = await Promise.all(keys.map(async (key) => readEvents(await post(key))));
  assert.equal(await isAlive(hosts, hosts.engines[0]?.port ?? 0), false, 'the faulty engine got no request');
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

test('Last-Event-ID resumes a stream on its host and is refused truthfully on another', async (t) => {
  const hosts = await start(t, { hosts: 2, tokensPerAnswer: 10 });
  const request = { key: 's', operation: 'draft', stream: true };
  const whole = readEvents(await hosts.post(0, request));
  const rest = readEvents(await hosts.post(0, { ...request, lastEventId: 4 }));
  assert.deepEqual(rest, whole.slice(4));
  const elsewhere = read(await hosts.post(1, { ...request, lastEventId: 4 }));
  assert.deepEqual([elsewhere.status, elsewhere.outcome], [409, 'not-run']);
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

test('a drained host serves until the balancer has noticed, finishes its requests and closes', async (t) => {
  const hosts = await start(t, { hosts: 2, serviceMs: 300, drain: { balancerLagMs: 300, timeoutMs: 2_000 } });
  const before = hosts.post(0, { key: 'before' });
  const drained = hosts.hosts[0]?.drain();
  await pause(50);
  assert.equal(await readReady(hosts, 0), 503);
  const during = hosts.post(0, { key: 'during' });
  assert.deepEqual([(await before).status, (await during).status], [200, 200]);
  await drained;
  await assert.rejects(hosts.post(0, { key: 'after' }));
  const resend = await hosts.post(1, { key: 'during' });
  assert.equal(JSON.stringify(JSON.parse((await during).body).output), JSON.stringify(JSON.parse(resend.body).output));
});

test('outcomes that are not durable are handed to another host before exit, even without the store', async (t) => {
  const hosts = await start(t, { hosts: 2, serviceMs: 200, drain: { balancerLagMs: 10, timeoutMs: 1_500 } });
  const answer = hosts.post(0, { key: 'k' });
  await pause(120);
  hosts.store.setFaults([{ type: 'down' }]);
  assert.equal((await answer).status, 200);
  await hosts.hosts[0]?.drain();
  hosts.unlist(0);
  hosts.store.setFaults([]);
  await pause(600);
  const resend = await hosts.post(1, { key: 'k' });
  assert.equal(resend.status, 200, resend.body);
  assert.equal(hosts.ledger.executions.get('k'), 1);
});

test('the time limit of a drain holds although a request does not finish', async (t) => {
  const hosts = await start(t, { hosts: 1, serviceMs: 1_800, drain: { balancerLagMs: 10, timeoutMs: 400 } });
  const stuck = hosts.post(0, { key: 'k' }).catch(() => undefined);
  await pause(50);
  const startedAtMs = performance.now();
  await hosts.hosts[0]?.drain();
  // 10 ms balancer lag and 400 ms time limit, with 200 ms for a busy test machine.
  assert.ok(performance.now() - startedAtMs < 610, `drained after ${performance.now() - startedAtMs} ms`);
  await stuck;
});
