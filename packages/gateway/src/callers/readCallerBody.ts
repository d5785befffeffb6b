import type { IncomingMessage } from 'node:http';
import type { Clock, Timer } from '@bergamotcove/clock';
import { createByteCollector, scheduleAfterReading } from '@bergamotcove/transport';
import type { AnswerMemoryShare } from '../servers/createAnswerMemory.js';

/** Result of reading the body of a request. */
export type CallerBody =
  | { readonly type: 'whole'; readonly body: Buffer }
  | { readonly type: 'too-large' }
  /** No data arrived within the idle limit, or the body was not complete in time. */
  | { readonly type: 'too-slow' }
  /** The memory for the bodies of all requests is used up. */
  | { readonly type: 'no-memory' }
  /** The rest of the body cannot be parsed. */
  | { readonly type: 'invalid' }
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
  /** Memory of the request, which is held until the request has ended. */
  readonly memory: AnswerMemoryShare;
}

/** Prefix of the codes of errors of the HTTP parser. */
const PARSER_CODE_PREFIX = 'HPE_';

/**
 * Reads the body of a caller's request.
 *
 * @param request - request whose body is not read yet
 * @param limits - clock and limits of size and time
 * @returns the body, or why it was not read in full; never rejects
 */
export default function readCallerBody(
  request: IncomingMessage,
  { clock, maxBytes, idleMs, totalMs, memory }: CallerBodyLimits,
): Promise<CallerBody> {
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  if (statedBytes > maxBytes) {
    return Promise.resolve({ type: 'too-large' });
  }
  if (!memory.reserve(statedBytes)) {
    return Promise.resolve({ type: 'no-memory' });
  }
  return new Promise((resolve) => {
    const collected = createByteCollector(statedBytes > 0 ? { expectedBytes: statedBytes } : {});
    let idleTimer: Timer | undefined;
    let totalTimer: Timer | undefined;
    const settle = (body: CallerBody): void => {
      idleTimer?.close();
      totalTimer?.close();
      resolve(body);
    };
    const stopReading = (type: 'too-large' | 'too-slow' | 'no-memory'): void => {
      request.pause();
      settle({ type });
    };
    const restartIdleTimer = (): void => {
      idleTimer?.close();
      idleTimer = scheduleAfterReading(clock, idleMs, () => stopReading('too-slow'));
    };
    totalTimer = clock.schedule(Math.max(0, totalMs), () => stopReading('too-slow'));
    restartIdleTimer();
    request.on('data', (chunk: Buffer) => {
      if (collected.sizeBytes + chunk.length > maxBytes) {
        stopReading('too-large');
        return;
      }
      collected.push(chunk);
      if (!memory.reserve(Math.max(0, collected.heldBytes - memory.sizeBytes))) {
        stopReading('no-memory');
        return;
      }
      restartIdleTimer();
    });
    request.on('end', () => settle({ type: 'whole', body: collected.read() }));
    request.on('error', ({ code }: NodeJS.ErrnoException) =>
      settle({ type: code?.startsWith(PARSER_CODE_PREFIX) === true ? 'invalid' : 'broken' }),
    );
    request.on('close', () => settle({ type: 'broken' }));
  });
}
