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

const reject = (): Promise<never> => Promise.reject(new Error('not part of the test'));
const STORE = { get: reject, range: reject, txn: reject } as unknown as StoreClient;

test('a claim that an unreachable owner may still apply is not reported as refused by a full shard', async () => {
  const clock = createManualClock();
  const hostFields = { address: '127.0.0.1', peersPort: 1, failureDomain: 'a', region: 'r' };
  const hostIds = ['h1', 'h2', 'h3'];
  const hostId = rankShardOwners(hostIds, shardOfKey(KEY_HASH))[2] ?? '';
  let calls = 0;
  const logs = createClaimLogs({
    clock,
    store: STORE,
    peers: {
      call: () => {
        calls += 1;
        return calls === 1
          ? Promise.reject(new TransportError('connection-lost', 'timeout'))
          : Promise.resolve({ type: 'full' });
      },
    },
    directory: { liveHosts: () => hostIds.map((id) => ({ ...hostFields, hostId: id })) },
    hostId,
    processId: 'p',
  });
  const claim = { type: 'claim' as const, keyHash: KEY_HASH, bodyHash: KEY_HASH, claimId: 'c', hostId: 'p', wallMs: 1 };
  const submitted = logs.submit(claim, LEFT_MS);
  await new Promise(setImmediate);
  clock.advance(LEFT_MS);
  const result = await submitted;
  logs.close();
  assert.deepEqual([calls, result.type, result.type === 'unavailable' && result.mayApply], [2, 'unavailable', true]);
});

test('a call to an unreachable shard owner gets half of the remaining time, so that this host can still meet the deadline', async () => {
  const [owner = '', other = ''] = rankShardOwners(HOST_IDS, shardOfKey(KEY_HASH));
  const timeouts: number[] = [];
  const hostFields = { address: '127.0.0.1', peersPort: 1, failureDomain: 'a', region: 'r' };
  const clock = createManualClock();
  const logs = createClaimLogs({
    clock,
    store: STORE,
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
