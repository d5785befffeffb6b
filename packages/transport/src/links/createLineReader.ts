import TransportError from '../TransportError.js';

/** Size limit of a line that a peer sends. */
export const MAX_LINE_BYTES = 16 * 1_048_576;

/**
 * Creates a reader that splits a byte stream into lines.
 *
 * @param onLine - called with each complete line, without its line feed
 * @returns a function that consumes the next bytes; it throws TransportError `too-large` for a line over the limit
 */
export default function createLineReader(onLine: (line: string) => void): (chunk: Buffer) => void {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  return (chunk) => {
    let start = 0;
    for (let end = chunk.indexOf(10); end !== -1; end = chunk.indexOf(10, start)) {
      const line = Buffer.concat([...pending, chunk.subarray(start, end)]).toString('utf8');
      pending = [];
      pendingBytes = 0;
      start = end + 1;
      if (line !== '') {
        onLine(line);
      }
    }
    if (start < chunk.length) {
      pending.push(chunk.subarray(start));
      pendingBytes += chunk.length - start;
      if (pendingBytes > MAX_LINE_BYTES) {
        throw new TransportError('too-large', `a line exceeds ${MAX_LINE_BYTES} bytes`);
      }
    }
  };
}
