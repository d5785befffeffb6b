import dgram from 'node:dgram';
import { toError } from '@bergamotcove/errors';
import type { Target } from '../createHttpClient.js';
import type { PeerAuth } from '../peers/createPeerAuth.js';

/** Handles the message of a datagram whose signature was verified. */
export type DatagramHandler = (message: Uint8Array, sender: Target) => void;

/** Options of {@link createDatagramSocket}. */
export interface DatagramSocketOptions {
  /** Address to which peers send; it is part of the signature. */
  readonly address: string;
  readonly port: number;
  readonly auth: PeerAuth;
  readonly onMessage: DatagramHandler;
  /** Called for each datagram that is dropped, and for socket errors. */
  readonly onRefused?: (error: Error) => void;
  /** Called with the size of each datagram, for metrics. */
  readonly onBytes?: (sentBytes: number, receivedBytes: number) => void;
}

/** Sends signed datagrams. A datagram may be lost, duplicated or reordered. */
export interface DatagramSocket {
  readonly port: number;
  send(target: Target, message: Uint8Array): void;
  close(): void;
}

/**
 * Binds a UDP socket for messages between peers.
 *
 * @param options - address, authentication and callbacks
 * @returns the socket once it is bound
 * @throws Error when the port is in use
 * @example
 * const socket = await createDatagramSocket({ address: '10.0.0.1', port: 7000, auth, onMessage });
 */
export default function createDatagramSocket(options: DatagramSocketOptions): Promise<DatagramSocket> {
  const { address, auth } = options;
  const socket = dgram.createSocket(address.includes(':') ? 'udp6' : 'udp4');
  let closed = false;
  const refuse = (cause: unknown): void => options.onRefused?.(toError(cause));

  const receive = (bytes: Uint8Array, sender: Target): void => {
    options.onBytes?.(0, bytes.length);
    try {
      options.onMessage(auth.openDatagram(bytes, `${address}:${socket.address().port}`), sender);
    } catch (cause) {
      refuse(cause);
    }
  };
  const send = (target: Target, message: Uint8Array): void => {
    if (closed) {
      return;
    }
    try {
      const bytes = auth.sealDatagram(message, `${target.address}:${target.port}`);
      options.onBytes?.(bytes.length, 0);
      socket.send(bytes, target.port, target.address, (error) => {
        if (error !== null) {
          refuse(error);
        }
      });
    } catch (cause) {
      refuse(cause);
    }
  };

  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(options.port, address, () => {
      socket.removeListener('error', reject);
      socket.on('error', refuse);
      socket.on('message', (bytes, { address: from, port }) => receive(bytes, { address: from, port }));
      const close = (): void => {
        if (!closed) {
          closed = true;
          socket.close();
        }
      };
      resolve({ port: socket.address().port, send, close });
    });
  });
}
