import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { rankShardOwners, shardOfKey } from '@bergamotcove/decide';
import type { StoreClient } from '@bergamotcove/backends';
import { TransportError } from '@bergamotcove/transport';
import createClaimLogs from './createClaimLogs.js';

const KEY_HASH = 'a'.repeat(64);
const HOST_IDS = ['h1', 'h2'];
const LEFT_MS = 1_000;

test('a call to an unreachable shard owner gets half of the remaining time, so that this host can still meet the deadline', async () => {
  const [owner = '', other = ''] = rankShardOwners(HOST_IDS, shardOfKey(KEY_HASH));
  const timeouts: number[] = [];
  const hostFields = { address: '127.0.0.1', peersPort: 1, failureDomain: 'a', region: 'r' };
  const clock = createManualClock();
  const reject = (): Promise<never> => Promise.reject(new Error('not part of the test'));
  const logs = createClaimLogs({
    clock,
    store: { get: reject, range: reject, txn: reject } as unknown as StoreClient,
    peers: {
      call: (_target, _method, _params, { timeoutMs }) => {
        timeouts.push(timeoutMs);
        return Promise.reject(new TransportError('connection-lost', 'timeout'));
      },
    },
    directory: { liveHosts: () => [owner, other].map((hostId) => ({ ...hostFields, hostId })) },
    hostId: other,
    processId: 'p',
  });
  const claim = { type: 'claim' as const, keyHash: KEY_HASH, bodyHash: KEY_HASH, claimId: 'c', hostId: 'p', wallMs: 1 };
  logs.submit(claim, LEFT_MS).catch(() => undefined);
  await Promise.resolve();
  logs.close();
  assert.deepEqual(timeouts, [LEFT_MS / 2]);
});
