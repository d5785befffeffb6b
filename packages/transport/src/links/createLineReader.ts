import createByteCollector from '../createByteCollector.js';
import TransportError from '../TransportError.js';

/** Size limit of a line that a peer sends. */
export const MAX_LINE_BYTES = 16 * 1_048_576;

/**
 * Creates a reader that splits a byte stream into lines.
 *
 * @param onLine - called with each complete line, without its line feed
 * @returns a function that consumes the next bytes; it throws TransportError `too-large` for a line over the limit, and
 *   `fragmented` for one that comes in far too many chunks
 */
export default function createLineReader(onLine: (line: string) => void): (chunk: Buffer) => void {
  const pending = createByteCollector();
  const completeLine = (end: Buffer): string => {
    if (pending.sizeBytes === 0) {
      return end.toString('utf8');
    }
    pending.push(end);
    const line = pending.read().toString('utf8');
    pending.clear();
    return line;
  };
  return (chunk) => {
    let start = 0;
    for (let end = chunk.indexOf(10); end !== -1; end = chunk.indexOf(10, start)) {
      const line = completeLine(chunk.subarray(start, end));
      start = end + 1;
      if (line !== '') {
        onLine(line);
      }
    }
    if (start < chunk.length) {
      pending.push(chunk.subarray(start));
      if (pending.sizeBytes > MAX_LINE_BYTES) {
        throw new TransportError('too-large', `a line exceeds ${MAX_LINE_BYTES} bytes`);
      }
      if (pending.isFragmented) {
        throw new TransportError('fragmented', `a line of ${pending.sizeBytes} bytes came in too many chunks`);
      }
    }
  };
}
