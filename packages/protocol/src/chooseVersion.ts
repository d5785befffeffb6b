import { PREVIOUS_PROTOCOL_VERSION, PROTOCOL_VERSION } from './constants.js';

/**
 * Chooses the protocol version for messages to a peer. A peer that has sent no message yet gets the previous
 * version, because every supported host can decode it.
 *
 * @param peerVersion - version of the peer's last message
 * @returns the version to encode messages in
 * @example
 * chooseVersion(undefined); // 1
 */
export default function chooseVersion(peerVersion: number | undefined): number {
  return Math.min(PROTOCOL_VERSION, peerVersion ?? PREVIOUS_PROTOCOL_VERSION);
}
