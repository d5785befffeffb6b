import type { IncomingMessage } from 'node:http';
import type { Clock, Timer } from '@bergamotcove/clock';
import { createByteCollector } from '@bergamotcove/transport';

/** Result of reading the body of a request. */
export type CallerBody =
  | { readonly type: 'whole'; readonly body: Buffer }
  | { readonly type: 'too-large' }
  /** No data arrived within the idle limit, or the body was not complete in time. */
  | { readonly type: 'too-slow' }
  /** The caller disconnected before the body was complete. */
  | { readonly type: 'broken' };

/** Limits of {@link readCallerBody}. */
export interface CallerBodyLimits {
  readonly clock: Clock;
  readonly maxBytes: number;
  /** Limit of the pause between two chunks. */
  readonly idleMs: number;
  /** Limit of the time for the whole body. */
  readonly totalMs: number;
}

/**
 * Reads the body of a caller's request.
 *
 * @param request - request whose body is not read yet
 * @param limits - clock and limits of size and time
 * @returns the body, or why it was not read in full; never rejects
 */
export default function readCallerBody(
  request: IncomingMessage,
  { clock, maxBytes, idleMs, totalMs }: CallerBodyLimits,
): Promise<CallerBody> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve({ type: 'too-large' });
  }
  return new Promise((resolve) => {
    const collected = createByteCollector();
    let idleTimer: Timer | undefined;
    let totalTimer: Timer | undefined;
    const settle = (body: CallerBody): void => {
      idleTimer?.close();
      totalTimer?.close();
      resolve(body);
    };
    const stopReading = (type: 'too-large' | 'too-slow'): void => {
      request.pause();
      settle({ type });
    };
    const restartIdleTimer = (): void => {
      idleTimer?.close();
      idleTimer = clock.schedule(idleMs, () => stopReading('too-slow'));
    };
    totalTimer = clock.schedule(Math.max(0, totalMs), () => stopReading('too-slow'));
    restartIdleTimer();
    request.on('data', (chunk: Buffer) => {
      if (collected.sizeBytes + chunk.length > maxBytes) {
        stopReading('too-large');
        return;
      }
      collected.push(chunk);
      restartIdleTimer();
    });
    request.on('end', () => settle({ type: 'whole', body: collected.read() }));
    request.on('error', () => settle({ type: 'broken' }));
    request.on('close', () => settle({ type: 'broken' }));
  });
}
