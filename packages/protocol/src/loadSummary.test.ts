import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import fc from 'fast-check';
import { MAX_MESSAGE_BYTES } from './constants.js';
import encodeMessage from './control/encodeMessage.js';
import { decodeLoadSummary, encodeLoadSummary, LOAD_EXCHANGE, MAX_LOAD_ENTRIES } from './loadSummary.js';
import ProtocolError from './ProtocolError.js';

const LARGEST = 0xffff_ffff;
const count = fc.nat(LARGEST);
const entry = fc.record({
  serverHash: count,
  running: count,
  queued: count,
  tokensPerSecond: fc.double({ min: 0, max: 1e9, noNaN: true }),
  ageMs: fc.nat(600_000).map((tenths) => tenths / 10),
});

test('decoded counts are equal, rates are within 5%, and ages are never below the encoded ones', () => {
  fc.assert(
    fc.property(fc.array(entry, { maxLength: MAX_LOAD_ENTRIES }), (entries) => {
      const decoded = decodeLoadSummary(encodeLoadSummary(entries));
      assert.equal(decoded.length, entries.length);
      entries.forEach((before, index) => {
        const after = decoded[index];
        assert.deepEqual(
          [after?.serverHash, after?.running, after?.queued],
          [before.serverHash, before.running, before.queued],
        );
        assert.ok(
          Math.abs((after?.tokensPerSecond ?? NaN) + 1 - (before.tokensPerSecond + 1)) / (before.tokensPerSecond + 1) <
            0.05,
        );
        assert.ok((after?.ageMs ?? 0) >= before.ageMs && (after?.ageMs ?? 0) < before.ageMs + 50);
      });
    }),
  );
});

test('the largest summary with the longest names fits into a datagram, so that the sender drops none', () => {
  const largest = { serverHash: LARGEST, running: LARGEST, queued: LARGEST, tokensPerSecond: 1e9, ageMs: 60_000 };
  const payload = encodeLoadSummary(Array.from({ length: MAX_LOAD_ENTRIES }, () => largest));
  const name = 'n'.repeat(64);
  const from = { hostId: name, address: name, peersPort: 65_535, failureDomain: name, region: name };
  const header = { from, incarnation: LARGEST, sequence: 0, updates: [], domains: [], digest: '' };
  const bytes = encodeMessage({ type: 'summary', ...header, topic: LOAD_EXCHANGE, payload });
  assert.ok(bytes.length <= MAX_MESSAGE_BYTES, `${bytes.length} bytes`);
  assert.throws(() => encodeLoadSummary(Array.from({ length: MAX_LOAD_ENTRIES + 1 }, () => largest)), {
    code: 'too-large',
  });
});

test('any payload decodes to finite loads or a protocol error, so that no peer can crash or mislead a host', () => {
  const values = fc.oneof(fc.array(fc.oneof(fc.constant(1), count)), fc.anything({ maxDepth: 2 }));
  const check = (payload: Uint8Array): void => {
    try {
      assert.ok(decodeLoadSummary(payload).every((one) => Object.values(one).every(Number.isFinite)));
    } catch (cause) {
      assert.ok(cause instanceof ProtocolError, String(cause));
    }
  };
  fc.assert(fc.property(fc.uint8Array(), check));
  fc.assert(
    fc.property(values, (value) => {
      let payload: Uint8Array;
      try {
        payload = encode(value);
      } catch {
        return;
      }
      check(payload);
    }),
  );
});
