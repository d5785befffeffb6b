import assert from 'node:assert/strict';
import { test } from 'node:test';
import createOriginsModel from '../testing/createOriginsModel.js';

const V1 = { pool: 'lm', softwareVersion: 'v1' };
const V2 = { pool: 'lm', softwareVersion: 'v2' };

(
  [
    ['agreed origins are kept for the life of the streams that began before the timeout of a route was lowered', true],
    ['a host that takes the agreement over knows the longer timeouts of before', false],
  ] as const
).forEach(([name, isOwner]) =>
  test(name, async () => {
    const model = createOriginsModel({ agreed: V1, isStored: true, stored: V2, timeoutMs: 60_000 });
    model.isOwner = isOwner;
    await model.advance(1);
    // A stream begins at v1 now, without a record, and may last for 60 s.
    model.timeoutMs = 2_000;
    model.isOwner = true;
    model.listed = [V2];
    await model.advance(20);
    const found = await model.findUnrecorded();
    model.close();
    assert.deepEqual(found, { type: 'known', origin: V1, source: 'agreed' });
  }),
);
