import assert from 'node:assert/strict';
import { test } from 'node:test';
import { of } from 'rxjs';
import { createManualClock } from '@bergamotcove/clock';
import { POISON_BLOCKS } from '@bergamotcove/protocol';
import type { PeerServer } from '@bergamotcove/transport';
import type { EntryHostView } from '../peers/types.js';
import type { AttemptEvent } from '../requests/startRun.js';
import createPoisonGuard from './createPoisonGuard.js';

const createHost = (hostId: string, peersPort: number): EntryHostView => ({
  hostId,
  address: '10.0.0.1',
  peersPort,
  failureDomain: 'd1',
  region: 'r1',
});

const flushPromises = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Creates a guard on a host whose peers answer by port; a port without an entry fails. */
const createTestGuard = (answers: ReadonlyMap<number, readonly object[]>) => {
  const clock = createManualClock();
  const hosts: EntryHostView[] = [createHost('h0', 1)];
  const asked: number[] = [];
  const guard = createPoisonGuard({
    clock,
    logger: { event: () => undefined },
    peers: {
      call: async ({ port }: { readonly port: number }, method: string) => {
        assert.equal(method, POISON_BLOCKS);
        asked.push(port);
        const answer = answers.get(port);
        if (answer === undefined) {
          throw new Error('no answer');
        }
        return answer;
      },
    },
    peerServer: { register: () => undefined } as unknown as PeerServer,
    directory: { liveHosts: () => hosts },
    hostId: 'h0',
    isDown: async () => false,
  });
  return { clock, hosts, asked, guard };
};

const isBlocked = (guard: ReturnType<typeof createTestGuard>['guard'], fingerprint: string): boolean => {
  const events: AttemptEvent[] = [];
  const sent: AttemptEvent = { type: 'sent', serverId: 's1' };
  guard.watch({ fingerprint, pool: 'p', deadlineAtMs: 1_000 }, () => of(sent)).subscribe((event) => events.push(event));
  return events.some(({ type }) => type === 'failed');
};

test('a new host asks the other hosts for their blocks until one answers', async () => {
  const { clock, hosts, asked, guard } = createTestGuard(new Map([[3, [{ fingerprint: 'f', remainingMs: 60_000 }]]]));
  guard.start();
  await flushPromises();
  hosts.push(createHost('h1', 2), createHost('h2', 3));
  for (let turn = 0; turn < 4; turn += 1) {
    clock.advance(500);
    await flushPromises();
  }
  assert.equal(asked.at(-1), 3);
  assert.ok(asked.length <= 2);
  assert.ok(isBlocked(guard, 'f'));
  assert.ok(!isBlocked(guard, 'g'));
  guard.close();
});
