import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createSchedulerClient, { type SchedulerClientOptions } from './createSchedulerClient.js';

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
