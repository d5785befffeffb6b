import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import reserveFromBucket from './reserveFromBucket.js';
import type { Bucket } from './types.js';

const SPEC = { ratePerSecond: 10, capacity: 5 };

test('reservations used after their wait stay within rate and burst over any window', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: 300 }), { maxLength: 60 }), (gaps) => {
      let bucket: Bucket | undefined;
      let nowMs = 0;
      const usedAtMs = gaps.map((gapMs) => {
        nowMs += gapMs;
        const reservation = reserveFromBucket(bucket, SPEC, { amount: 1, nowMs });
        bucket = reservation.bucket;
        return nowMs + reservation.waitMs;
      });
      usedAtMs.forEach((fromMs, index) => {
        usedAtMs.slice(index).forEach((toMs, offset) => {
          const allowed = SPEC.capacity + (SPEC.ratePerSecond * (toMs - fromMs)) / 1_000;
          assert.ok(offset + 1 <= allowed + 1e-6);
        });
      });
    }),
  );
});
