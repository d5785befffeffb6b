/** Version of the protocol between entry hosts that this software implements. */
export const PROTOCOL_VERSION = 2;

/** Oldest version that is still supported, so that a fleet can be upgraded host by host. */
export const PREVIOUS_PROTOCOL_VERSION = 1;

/** Largest datagram with its authentication; it fits into one Ethernet frame with tunnel headers. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Largest JSON-RPC body. */
export const MAX_RPC_BYTES = 1_048_576;

/** Bytes that authentication may add to a datagram: version, key id of up to 32 bytes, MAC, time and nonce. */
export const DATAGRAM_OVERHEAD_BYTES = 66;

/** Largest encoded message inside a datagram. */
export const MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES;
