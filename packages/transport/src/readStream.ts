import type { Readable } from 'node:stream';
import createReaderFault from './_lib/createReaderFault.js';

/** Receives the contents of a stream, and then one of its ends. */
export interface StreamHandlers {
  /** Called with each chunk until the stream ends or is destroyed. */
  readonly onData: (chunk: Buffer) => void;
  /** Called when the stream has ended by itself. */
  readonly onEnd: () => void;
  /** Called when the stream broke or was destroyed before its end, or a handler threw an exception. */
  readonly onBroken: (cause?: Error) => void;
}

/**
 * Reads a stream with listeners, which are cheaper than an async iterator. An exception of a handler destroys the stream
 * with the error `reader-failed`.
 *
 * @param stream - request or response whose body is not read yet
 * @param handlers - receivers of its contents
 */
export default function readStream(stream: Readable, { onData, onEnd, onBroken }: StreamHandlers): void {
  let hasEnded = false;
  const end = (run: () => void): void => {
    if (!hasEnded) {
      hasEnded = true;
      run();
    }
  };
  const fail = (cause: unknown): void => {
    const fault = createReaderFault(cause);
    hasEnded = true;
    stream.destroy(fault);
    onBroken(fault);
  };
  if (stream.destroyed) {
    // The stream broke before the listeners were added and emits no further event.
    end(onBroken);
    return;
  }
  stream.on('data', (chunk: Buffer) => {
    if (hasEnded || stream.destroyed) {
      return;
    }
    try {
      onData(chunk);
    } catch (cause) {
      fail(cause);
    }
  });
  stream.on('end', () => {
    try {
      end(onEnd);
    } catch (cause) {
      fail(cause);
    }
  });
  stream.on('error', (cause: Error) => end(() => onBroken(cause)));
  stream.on('close', () => end(onBroken));
}
