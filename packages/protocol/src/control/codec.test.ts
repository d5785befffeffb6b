import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import fc from 'fast-check';
import chooseVersion from '../chooseVersion.js';
import { MAX_MESSAGE_BYTES } from '../constants.js';
import ProtocolError from '../ProtocolError.js';
import decodeMessage from './decodeMessage.js';
import encodeMessage from './encodeMessage.js';
import type { ControlMessage } from './types.js';

const name = fc.string({ minLength: 1, maxLength: 12 });
const plain = { noNullPrototype: true } as const;
const address = fc.record(
  { hostId: name, address: name, peersPort: fc.nat(65_535), failureDomain: name, region: name },
  plain,
);
const updates = fc.array(
  fc.record(
    {
      hostId: name,
      state: fc.constantFrom('alive', 'suspect', 'leaving', 'dead', 'left'),
      incarnation: fc.nat(),
      host: address,
    },
    { requiredKeys: ['hostId', 'state', 'incarnation'], ...plain },
  ),
  { maxLength: 4 },
);
const domains = fc.array(
  fc.record({ failureDomain: name, state: fc.constantFrom('live', 'suspect', 'lost'), version: fc.nat() }, plain),
  { maxLength: 4 },
);
const header = { from: address, incarnation: fc.nat(), sequence: fc.nat(), updates, domains, digest: name };
const messages = fc.oneof(
  fc.record({ type: fc.constantFrom('ping', 'ack'), ...header }),
  fc.record({ type: fc.constant('indirect-ping'), ...header, target: address }),
  fc.record({ type: fc.constant('relayed-ack'), ...header, targetId: name }),
  fc.record({ type: fc.constant('summary'), ...header, topic: name, payload: fc.uint8Array({ maxLength: 100 }) }),
) as fc.Arbitrary<ControlMessage>;

const expectMessageOrError = (bytes: Uint8Array): void => {
  try {
    assert.ok(decodeMessage(bytes).message.type);
  } catch (cause) {
    assert.ok(cause instanceof ProtocolError, `unexpected ${String(cause)}`);
  }
};

test('any bytes decode to a message or a protocol error, so that no datagram can crash a host', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 1_500 }), expectMessageOrError), { numRuns: 2_000 });
});

test('any msgpack value decodes to a message or a protocol error, so that no signed datagram can crash a host', () => {
  const value = fc.array(fc.oneof(fc.constantFrom(1, 2), fc.anything({ maxDepth: 2 }), fc.nat(4)), { maxLength: 9 });
  fc.assert(
    fc.property(value, (items) => {
      let bytes: Uint8Array;
      try {
        bytes = encode(items);
      } catch {
        return;
      }
      expectMessageOrError(bytes);
    }),
    { numRuns: 2_000 },
  );
});

test('a message with one changed byte decodes to a message or a protocol error', () => {
  fc.assert(
    fc.property(messages, fc.nat(), fc.nat(255), (message, at, value) => {
      const bytes = encodeMessage(message);
      bytes[at % bytes.length] = value;
      expectMessageOrError(bytes);
    }),
  );
});

test('a decoded message equals the encoded one, so that no field is lost in transfer', () => {
  fc.assert(
    fc.property(messages, (message) => {
      const { message: decoded, version } = decodeMessage(encodeMessage(message));
      assert.equal(version, 2);
      assert.deepEqual({ ...decoded }, { ...message });
    }),
  );
});

test('the previous version carries all but the domains and the digest, so that a fleet upgrades host by host', () => {
  fc.assert(
    fc.property(messages, (message) => {
      const { message: decoded, version } = decodeMessage(encodeMessage(message, chooseVersion(undefined)));
      // The first message is in the old version; two new hosts must still learn that both support the new one.
      assert.equal(version, 2);
      assert.deepEqual({ ...decoded }, { ...message, domains: [], digest: '' });
    }),
  );
});

test('unknown versions and oversized messages are rejected with distinct error codes', () => {
  assert.throws(() => decodeMessage(encode([3, 0])), { code: 'unsupported-version' });
  assert.throws(() => decodeMessage(new Uint8Array(MAX_MESSAGE_BYTES + 1)), { code: 'too-large' });
  assert.equal(chooseVersion(1), 1);
  assert.equal(chooseVersion(9), 2);
});
