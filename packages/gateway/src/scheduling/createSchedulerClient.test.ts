import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import listBrokenAnswers from '../testing/listBrokenAnswers.js';
import createSchedulerClient, { type SchedulerClientOptions } from './createSchedulerClient.js';
import type { PlaceRequest } from './messages.js';

const REQUEST = { requestId: 'a', value: 1, stages: [], dueInMs: 1_000, deadlineInMs: 3_000, generation: undefined };

/** A client whose scheduler is another host; the test resolves or rejects its calls. */
const createFixture = () => {
  const clock = createManualClock();
  const events: string[] = [];
  const silent: string[] = [];
  const calls: { readonly resolve: (answer: unknown) => void; readonly reject: (cause: Error) => void }[] = [];
  const owner = { hostId: 'other', target: { address: '10.0.0.2', port: 1 } };
  const client = createSchedulerClient({
    clock,
    logger: { event: (name: string) => events.push(name) },
    hosts: {
      self: { hostId: 'self' },
      rankOwners: () => [owner],
      noteSilent: (hostId: string) => silent.push(hostId),
      onChange: () => undefined,
    },
    links: {
      call: () =>
        new Promise((resolve, reject) => {
          calls.push({ resolve, reject });
        }),
      notify: () => undefined,
    },
    local: {},
    region: 'r',
  } as unknown as SchedulerClientOptions);
  return { clock, events, silent, calls, client };
};

test('admits a request when the scheduler does not answer in time', async () => {
  const { clock, events, silent, calls, client } = createFixture();
  const entering = client.enter(REQUEST);
  clock.advance(500);
  assert.equal((await entering).type, 'admitted');
  calls[0]?.reject(new Error('the link is lost'));
  await new Promise(setImmediate);
  assert.deepEqual(silent, ['other'], 'the host is reported as silent once');
  assert.deepEqual(events, ['schedulerLost']);
});

test('reports a scheduler as silent at once when its link breaks', async () => {
  const { events, silent, calls, client } = createFixture();
  const entering = client.enter(REQUEST);
  calls[0]?.reject(new Error('the link is lost'));
  assert.equal((await entering).type, 'admitted');
  assert.deepEqual(silent, ['other']);
  assert.deepEqual(events, ['schedulerLost']);
});

/** A client in region `r1` of two; the schedulers of both are other hosts, and `answers` are theirs in turn. */
const createRegionsFixture = (answers: readonly unknown[]) => {
  const asked: { readonly region: string; readonly message: Record<string, unknown> }[] = [];
  const client = createSchedulerClient({
    clock: createManualClock(),
    logger: { event: () => undefined },
    hosts: {
      self: { hostId: 'self' },
      rankOwners: (_: string, region: string) => [{ hostId: `scheduler-${region}`, target: region }],
      noteSilent: () => undefined,
      onChange: () => undefined,
    },
    links: {
      call: (region: string, _: string, message: Record<string, unknown>) => {
        asked.push({ region, message });
        const answer = answers[asked.length - 1];
        return answer === undefined ? Promise.reject(new Error('the link is lost')) : Promise.resolve(answer);
      },
      notify: () => undefined,
    },
    local: {},
    region: 'r1',
  } as unknown as SchedulerClientOptions);
  return { asked, client };
};

const ADMITTED = { type: 'admitted', tier: 'on-time', expectedInMs: 1, answerMs: 1, failureDomain: undefined };

// Guards against schedulers of an earlier build, which ignore the permitted regions.
test('a scheduler that sends a request to a forbidden region is asked to decide for its own region', async () => {
  const { asked, client } = createRegionsFixture([
    { type: 'elsewhere', region: 'r2' },
    { ...ADMITTED, regions: ['r2', 'r1'] },
  ]);
  const entry = await client.enter({ ...REQUEST, homeRegions: ['r1'] });
  assert.deepEqual(
    asked.map(({ region, message }) => [region, message.visiting]),
    [
      ['r1', false],
      ['r1', true],
    ],
  );
  assert.deepEqual(entry.type === 'admitted' && [entry.region, entry.regions], ['r1', ['r1', 'r1']]);
});

test('the scheduler of a permitted region decides for it, and without an answer the request is admitted there', async () => {
  for (const answer of [{ ...ADMITTED, regions: ['r1'] }, undefined]) {
    const { asked, client } = createRegionsFixture([answer]);
    const entry = await client.enter({ ...REQUEST, homeRegions: ['r2'] }, 'r2');
    assert.deepEqual([asked.length, asked[0]?.region, asked[0]?.message.visiting], [1, 'r2', true]);
    assert.deepEqual(entry.type === 'admitted' && [entry.region, entry.regions], [
      'r2',
      answer === undefined ? [] : ['r2'],
    ]);
  }
});

test('a request without a restriction is redirected as before, and its messages name no regions', async () => {
  const { asked, client } = createRegionsFixture([
    { type: 'elsewhere', region: 'r2' },
    { ...ADMITTED, regions: ['r1'] },
  ]);
  const entry = await client.enter(REQUEST);
  const common = { ...REQUEST };
  assert.deepEqual(asked, [
    { region: 'r1', message: { ...common, visiting: false } },
    { region: 'r2', message: { ...common, visiting: true } },
  ]);
  assert.deepEqual(entry.type === 'admitted' && [entry.region, entry.regions], ['r2', ['r1']]);
});

listBrokenAnswers().forEach(({ name, answer }) =>
  test(`a scheduler that answers with ${name} counts as silent, and the request is admitted without it`, async () => {
    const { events, silent, calls, client } = createFixture();
    const entering = client.enter(REQUEST);
    calls[0]?.resolve(answer);
    assert.deepEqual(await entering, {
      type: 'admitted',
      region: 'r',
      tier: 'on-time',
      expectedInMs: undefined,
      answerMs: undefined,
      failureDomain: undefined,
      regions: [],
    });
    assert.deepEqual([silent, events], [['other'], ['schedulerLost']]);
  }),
);

[null, true, 5, 'abc', { serverId: 5 }, { serverId: 's1', laterInMs: 'x' }, { firstTokenMs: {} }].forEach((answer) =>
  test(`a scheduler that names an engine with ${JSON.stringify(answer)} has named none`, async () => {
    const { silent, calls, client } = createFixture();
    const placing = client.place('r', {} as PlaceRequest);
    calls[0]?.resolve(answer);
    assert.deepEqual([await placing, silent], [{}, ['other']]);
  }),
);

test('counts an answer over which its reader throws as none', async () => {
  const { events, calls, client } = createFixture();
  const entering = client.enter(REQUEST);
  const answer = Object.defineProperty({}, 'type', {
    get: () => {
      throw new Error('a fault of this test');
    },
  });
  calls[0]?.resolve(answer);
  assert.equal((await entering).type, 'admitted');
  assert.deepEqual(events, ['schedulerLost']);
});
