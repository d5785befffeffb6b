import assert from 'node:assert/strict';
import { test } from 'node:test';
import createOriginsModel from '../testing/createOriginsModel.js';

const V1 = { pool: 'lm', softwareVersion: 'v1' };

test('agreed origins that a restored store lacks are written again', async () => {
  const model = createOriginsModel({ agreed: V1, isStored: false, stored: V1, timeoutMs: 2_000 });
  await model.advance(21);
  const found = await model.findUnrecorded();
  model.close();
  assert.deepEqual(found, { type: 'known', origin: V1, source: 'agreed' });
});
