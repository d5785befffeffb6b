import { PREVIOUS_PROTOCOL_VERSION, PROTOCOL_VERSION } from './constants.js';

/**
 * Chooses the protocol version for messages to a peer. A peer that was not heard yet gets the previous version,
 * because every supported host understands it.
 *
 * @param peerVersion - version of the peer's last message
 * @returns the version to speak
 * @example
 * chooseVersion(undefined); // 1
 */
export default function chooseVersion(peerVersion: number | undefined): number {
  return Math.min(PROTOCOL_VERSION, peerVersion ?? PREVIOUS_PROTOCOL_VERSION);
}
