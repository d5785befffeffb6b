import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createOriginWriter, { type OriginWriterOptions } from './createOriginWriter.js';

const ORIGIN = { pool: 'lm', softwareVersion: 'v1' };

test('the record of a stream lasts for the life of the stream, also after the timeout of a route was raised', async () => {
  const clock = createManualClock();
  let lifeMs = 14_000;
  const endsAtMs = new Map<string, number>();
  let lastLease = '';
  const options = {
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    prefix: 'streams/',
    streamLifeMs: () => lifeMs,
    store: {
      grantLease: (ttlMs: number) => {
        const leaseId = String(endsAtMs.size + 1);
        endsAtMs.set(leaseId, clock.monotonicMs() + ttlMs);
        return Promise.resolve(leaseId);
      },
      txn: (_: unknown, [put]: readonly { readonly leaseId: string }[]) => {
        lastLease = put?.leaseId ?? '';
        return Promise.resolve({ succeeded: true });
      },
    },
  } as unknown as OriginWriterOptions;
  const writer = createOriginWriter(options);
  assert.equal(await writer.write('one', ORIGIN), true);
  clock.advance(13_000);
  lifeMs = 130_000;
  assert.equal(await writer.write('two', ORIGIN), true);
  writer.close();
  const remainingMs = (endsAtMs.get(lastLease) ?? 0) - clock.monotonicMs();
  assert.ok(remainingMs >= lifeMs, `the record lasts for ${remainingMs} of ${lifeMs} ms`);
});
