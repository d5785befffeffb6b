import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import type { LinkClient } from '@bergamotcove/transport';
import type { HostEntry } from '../hosts/createHostRegistry.js';
import queryHosts from './queryHosts.js';

const HOSTS = ['a', 'b'].map((hostId) => ({ hostId, target: hostId }) as unknown as HostEntry);

test('an answer that cannot be used counts as none, and the other hosts are still heard', async () => {
  const used: unknown[] = [];
  const links = { call: (target: unknown) => Promise.resolve(target === 'a' ? null : 5) } as unknown as LinkClient;
  const onAnswer = (answer: unknown): boolean => {
    used.push((answer as number).toFixed());
    return false;
  };
  const query = { method: 'm', params: {}, limitMs: 100, onAnswer };
  await queryHosts(HOSTS, query, { clock: createManualClock(), links });
  assert.deepEqual(used, ['5']);
});
