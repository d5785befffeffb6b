import { readFile } from 'node:fs/promises';
import type { Socket } from 'node:net';
import os from 'node:os';

const TABLE_FILE = '/proc/self/net/tcp';

const formatHex = (value: number, digits: number): string => value.toString(16).toUpperCase().padStart(digits, '0');

/** Formats an IPv4 address as the kernel's table does: the number in the byte order of the machine. */
const formatEndpoint = (address: string, port: number): string => {
  const bytes = address.split('.').map(Number);
  const ordered = os.endianness() === 'LE' ? bytes.reverse() : bytes;
  return `${ordered.map((byte) => formatHex(byte, 2)).join('')}:${formatHex(port, 4)}`;
};

/**
 * Reads how many bytes of a connection the other side has not acknowledged. Node.js offers no other way to learn it:
 * a write counts as finished once the kernel has the bytes, which may be megabytes ahead of the receiver.
 *
 * @param socket - connection over IPv4
 * @returns the number of bytes; 0 when it is unknown, as on systems other than Linux
 */
export default async function readSendQueue(socket: Socket): Promise<number> {
  const { localAddress = '', localPort = 0, remoteAddress = '', remotePort = 0 } = socket;
  const ends = `${formatEndpoint(localAddress, localPort)} ${formatEndpoint(remoteAddress, remotePort)} `;
  const table = await readFile(TABLE_FILE, 'latin1').catch(() => '');
  const start = table.indexOf(ends);
  // A state of two digits and a space stand before the queue.
  const queue = start < 0 ? undefined : /^\w\w (\w+):/.exec(table.slice(start + ends.length, start + ends.length + 20));
  return Number.parseInt(queue?.[1] ?? '0', 16);
}
