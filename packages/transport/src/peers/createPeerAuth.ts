import { randomBytes } from 'node:crypto';
import type { Clock } from '@bergamotcove/clock';
import {
  DATAGRAM_OVERHEAD_BYTES,
  MAX_DATAGRAM_BYTES,
  PREVIOUS_PROTOCOL_VERSION,
  PROTOCOL_VERSION,
} from '@bergamotcove/protocol';
import TransportError from '../TransportError.js';
import createKeyring, { MAC_BYTES, type Keyring, type PeerKey } from './createKeyring.js';
import createReplayGuard from './createReplayGuard.js';

/** Options of {@link createPeerAuth}. */
export interface PeerAuthOptions {
  readonly clock: Clock;
  /** The first key is used for signing; all keys are accepted. */
  readonly keys: readonly PeerKey[];
}

/** Key and nonce with which a call was signed; its answer is signed with the same ones. */
export interface SignedCall {
  readonly keyId: string;
  readonly nonce: string;
}

/** Signs and verifies messages between peers. The audience is the `address:port` to which the sender sends. */
export interface PeerAuth {
  /** Returns the authentication header of a call. */
  signCall(body: string, audience: string): { readonly header: string; readonly call: SignedCall };
  /** Verifies the header of a call; throws TransportError `unauthenticated`. */
  checkCall(header: string, body: string, audience: string): SignedCall;
  /** Returns the authentication header of an answer. */
  signAnswer(call: SignedCall, body: string): string;
  /** Verifies the header of an answer; throws TransportError `unauthenticated`. */
  checkAnswer(call: SignedCall, header: string | undefined, body: string): void;
  /** Creates a signed datagram: the authentication followed by the message. */
  sealDatagram(message: Uint8Array, audience: string): Uint8Array;
  /** Verifies a datagram and returns its message; throws TransportError `unauthenticated` or `too-large`. */
  openDatagram(bytes: Uint8Array, audience: string): Uint8Array;
  /** Replaces the keys without a restart. */
  setKeys(keys: readonly PeerKey[]): void;
}

/** Header that carries the signature of a call or an answer. */
export const AUTH_HEADER = 'x-bergamot-auth';

const NONCE_BYTES = 8;
const TIMESTAMP_BYTES = 8;
const MAX_KEY_ID_BYTES = DATAGRAM_OVERHEAD_BYTES - 2 - MAC_BYTES - TIMESTAMP_BYTES - NONCE_BYTES;
const HEADER_PATTERN = /^v=(\d+);key=([^;]+);at=(\d+);nonce=([0-9a-f]+);mac=([0-9a-f]+)$/;

const fail = (message: string): never => {
  throw new TransportError('unauthenticated', message);
};

const checkVersion = (version: number): void => {
  if (version !== PROTOCOL_VERSION && version !== PREVIOUS_PROTOCOL_VERSION) {
    fail(`protocol version ${version} is not supported`);
  }
};

/** Splits a datagram into its fields, none of which is verified yet. */
const splitDatagram = (bytes: Uint8Array) => {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const keyEnd = 2 + (buffer[1] ?? 0);
  const macEnd = keyEnd + MAC_BYTES;
  const headEnd = macEnd + TIMESTAMP_BYTES + NONCE_BYTES;
  if (buffer.length < headEnd) {
    return fail('the datagram is too short to be signed');
  }
  return {
    version: buffer[0] as number,
    keyId: buffer.subarray(2, keyEnd).toString('utf8'),
    mac: buffer.subarray(keyEnd, macEnd),
    timestampMs: buffer.readDoubleBE(macEnd),
    nonce: buffer.subarray(macEnd + TIMESTAMP_BYTES, headEnd).toString('hex'),
    signed: buffer.subarray(macEnd),
    message: buffer.subarray(headEnd),
  };
};

/** Dependencies of the call and datagram authentication. */
interface AuthContext {
  readonly keyring: Keyring;
  readonly nowMs: () => number;
  readonly acceptOnce: (timestampMs: number, nonce: string) => void;
}

type CallAuth = Pick<PeerAuth, 'signCall' | 'checkCall' | 'signAnswer' | 'checkAnswer'>;

const listCallParts = (version: string, at: string, nonce: string, audience: string, body: string) =>
  ['call', version, at, nonce, audience, body] as const;

const createCallAuth = ({ keyring, nowMs, acceptOnce }: AuthContext): CallAuth => ({
  signCall: (body, audience) => {
    const keyId = keyring.signingKeyId();
    const nonce = randomBytes(NONCE_BYTES).toString('hex');
    const version = String(PROTOCOL_VERSION);
    const at = String(nowMs());
    const mac = keyring.mac(keyId, listCallParts(version, at, nonce, audience, body))?.toString('hex') ?? '';
    return { header: `v=${version};key=${keyId};at=${at};nonce=${nonce};mac=${mac}`, call: { keyId, nonce } };
  },
  checkCall: (header, body, audience) => {
    const [, version = '', keyId = '', at = '', nonce = '', mac = ''] = HEADER_PATTERN.exec(header) ?? [];
    checkVersion(Number(version));
    if (!keyring.verify(keyId, Buffer.from(mac, 'hex'), listCallParts(version, at, nonce, audience, body))) {
      fail('the signature of the call is wrong');
    }
    acceptOnce(Number(at), nonce);
    return { keyId, nonce };
  },
  signAnswer: ({ keyId, nonce }, body) => keyring.mac(keyId, ['answer', nonce, body])?.toString('hex') ?? '',
  checkAnswer: ({ keyId, nonce }, header = '', body = '') => {
    if (!keyring.verify(keyId, Buffer.from(header, 'hex'), ['answer', nonce, body])) {
      fail('the signature of the answer is wrong');
    }
  },
});

const createDatagramAuth = ({
  keyring,
  nowMs,
  acceptOnce,
}: AuthContext): Pick<PeerAuth, 'sealDatagram' | 'openDatagram'> => ({
  sealDatagram: (message, audience) => {
    const keyId = Buffer.from(keyring.signingKeyId(), 'utf8');
    const tail = Buffer.alloc(TIMESTAMP_BYTES + NONCE_BYTES);
    tail.writeDoubleBE(nowMs());
    randomBytes(NONCE_BYTES).copy(tail, TIMESTAMP_BYTES);
    const signed = Buffer.concat([tail, message]);
    const mac = keyring.mac(keyId.toString('utf8'), ['datagram', String(PROTOCOL_VERSION), audience, signed]);
    const bytes = Buffer.concat([Buffer.of(PROTOCOL_VERSION, keyId.length), keyId, mac as Buffer, signed]);
    if (bytes.length > MAX_DATAGRAM_BYTES || keyId.length > MAX_KEY_ID_BYTES) {
      throw new TransportError('too-large', `a datagram of ${bytes.length} bytes exceeds ${MAX_DATAGRAM_BYTES}`);
    }
    return bytes;
  },
  openDatagram: (bytes, audience) => {
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      throw new TransportError('too-large', `a datagram of ${bytes.length} bytes exceeds ${MAX_DATAGRAM_BYTES}`);
    }
    const { version, keyId, mac, timestampMs, nonce, signed, message } = splitDatagram(bytes);
    checkVersion(version);
    if (!keyring.verify(keyId, mac, ['datagram', String(version), audience, signed])) {
      fail('the signature of the datagram is wrong');
    }
    acceptOnce(timestampMs, nonce);
    return message;
  },
});

/**
 * Creates the authentication of a host. Timestamps are the wall time at the start plus the time that has passed on the
 * monotonic clock, so that a step of the wall clock does not make the peers of a running host reject its messages.
 *
 * @param options - clock and keys
 * @returns the authentication
 * @throws TransportError when there is no key or a key id is longer than 32 bytes
 * @example
 * const auth = createPeerAuth({ clock, keys: settings.peers.keys });
 */
export default function createPeerAuth(options: PeerAuthOptions): PeerAuth {
  const { clock } = options;
  const keyring = createKeyring(options.keys);
  const offsetMs = clock.wallMs() - clock.monotonicMs();
  const nowMs = (): number => Math.round(clock.monotonicMs() + offsetMs);
  const guard = createReplayGuard(nowMs);
  const acceptOnce = (timestampMs: number, nonce: string): void => {
    const verdict = guard.accept(timestampMs, nonce);
    if (verdict !== 'fresh') {
      fail(`the signature is ${verdict}`);
    }
  };
  const shared = { keyring, nowMs, acceptOnce };
  return { ...createCallAuth(shared), ...createDatagramAuth(shared), setKeys: keyring.replace };
}
