import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import type { ClaimRecord } from '@bergamotcove/protocol';
import { TransportError } from '@bergamotcove/transport';
import { hashBody } from './_lib/formatOps.js';
import type { ClaimLogs } from './createClaimLogs.js';
import type { OpenClaims } from './createOpenClaims.js';
import createOutcomeWait from './createOutcomeWait.js';
import type { ClaimRequest } from './types.js';

const clock = createSystemClock();
const ANSWER = JSON.stringify({ output: null, stages: [] });

test('waits for the answer of an unreachable host whose call ran, instead of reporting the answer as dropped', async () => {
  const request: ClaimRequest = {
    organisation: 'acme',
    service: 'clerk',
    idempotencyKey: 'k',
    bodyHash: 'b',
    requestId: 'r2',
    deadlineAtMs: clock.monotonicMs() + 2_000,
    maxDurationMs: 2_000,
    serversCheckKeys: false,
    queryStatus: () => Promise.resolve(true),
  };
  const claim = { bodyHash: hashBody(request), claimId: 'r1', hostId: 'h1/p', wallMs: 0 };
  const outcome = { type: 'answered' as const, answer: ANSWER };
  const records: readonly ClaimRecord[] = [
    { ...claim, status: { type: 'open' } },
    { ...claim, status: { type: 'open' } },
    { ...claim, status: { type: 'finished', outcome, wallMs: 0 } },
  ];
  let reads = 0;
  const read: ClaimLogs['read'] = () => {
    const record = records[Math.min(reads, records.length - 1)] as ClaimRecord;
    reads += 1;
    return Promise.resolve({ type: 'record', record });
  };
  const hostFields = { address: '127.0.0.1', peersPort: 1, failureDomain: 'a', region: 'r' };
  const wait = createOutcomeWait({
    clock,
    logs: { read } as ClaimLogs,
    openClaims: { persistInBackground: () => undefined } as unknown as OpenClaims,
    peers: { call: () => Promise.reject(new TransportError('not-connected', 'cut')) },
    directory: { liveHosts: () => [{ ...hostFields, hostId: 'h1' }] },
    processId: 'h2/p',
  });
  const waited = await wait(request);
  assert.equal(waited.type === 'settled' && waited.result.type, 'answered');
});
