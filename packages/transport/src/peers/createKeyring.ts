import { createHmac, timingSafeEqual } from 'node:crypto';
import TransportError from '../TransportError.js';

/** One secret key that the peers share. */
export interface PeerKey {
  readonly id: string;
  readonly secret: string;
}

/** Signs with the first key and accepts every key. */
export interface Keyring {
  /** Id of the key that is used for signing. */
  signingKeyId(): string;
  /** Truncated HMAC-SHA256 of the parts under the key with the id; undefined when there is no such key. */
  mac(keyId: string, parts: readonly (string | Uint8Array)[]): Buffer | undefined;
  /** Whether the MAC is valid; the comparison takes constant time. */
  verify(keyId: string, mac: Uint8Array, parts: readonly (string | Uint8Array)[]): boolean;
  /** Replaces all keys; calls in progress under a removed key fail. */
  replace(keys: readonly PeerKey[]): void;
}

/** Length of the truncated MAC that is sent; RFC 2104 allows truncating the 32 bytes to half. */
export const MAC_BYTES = 16;

const LENGTH_BYTES = 4;

const checkKeys = (keys: readonly PeerKey[]): readonly PeerKey[] => {
  if (keys.length === 0) {
    throw new TransportError('unauthenticated', 'at least one peer key is needed');
  }
  return keys;
};

/**
 * Creates a keyring.
 *
 * @param initial - keys; the first one signs
 * @returns the keyring
 * @throws TransportError when there is no key
 * @example
 * const keyring = createKeyring([{ id: 'k2', secret }, { id: 'k1', secret: old }]);
 */
export default function createKeyring(initial: readonly PeerKey[]): Keyring {
  let keys = checkKeys(initial);

  const mac = (keyId: string, parts: readonly (string | Uint8Array)[]): Buffer | undefined => {
    const key = keys.find((candidate) => candidate.id === keyId);
    if (key === undefined) {
      return undefined;
    }
    const hmac = createHmac('sha256', key.secret);
    parts.forEach((part) => {
      // Each part is preceded by its length, so that shifting bytes between adjacent parts changes the MAC.
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(Buffer.byteLength(part));
      hmac.update(length).update(part);
    });
    return hmac.digest().subarray(0, MAC_BYTES);
  };

  return {
    signingKeyId: () => (keys[0] as PeerKey).id,
    mac,
    verify: (keyId, offered, parts) => {
      const expected = mac(keyId, parts);
      return expected !== undefined && offered.length === MAC_BYTES && timingSafeEqual(expected, offered);
    },
    replace: (next) => {
      keys = checkKeys(next);
    },
  };
}
