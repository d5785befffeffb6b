import { setTimeout as delay } from 'node:timers/promises';
import { toError } from '@bergamotcove/errors';

/** Time for which a step of the start is repeated; a supervisor then sees the process fail. */
const LIMIT_MS = 20_000;
const INTERVAL_MS = 100;

/** Options of {@link retryStart}. */
export interface RetryOptions {
  /** Called once, after the first failure that is followed by another try. */
  readonly onWait: (error: Error) => void;
  /** Whether the step may succeed later; by default every error is. */
  readonly isTemporary?: (error: Error) => boolean;
  readonly limitMs?: number;
}

/**
 * Repeats a step of the start of a process while what it needs is missing, for a bounded time.
 *
 * @param step - the step
 * @param options - which errors are temporary, and for how long
 * @returns the result of the step
 * @throws the last error of the step
 */
export default async function retryStart<T>(
  step: () => Promise<T>,
  { onWait, isTemporary = () => true, limitMs = LIMIT_MS }: RetryOptions,
): Promise<T> {
  // Tries are counted, so that a change of the clock or a pause of the process does not use the time up.
  for (let waitedMs = 0; ; waitedMs += INTERVAL_MS) {
    try {
      // Each try follows the failure of the previous one.
      // eslint-disable-next-line no-await-in-loop
      return await step();
    } catch (cause) {
      const error = toError(cause);
      if (waitedMs >= limitMs || !isTemporary(error)) {
        throw error;
      }
      if (waitedMs === 0) {
        onWait(error);
      }
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(INTERVAL_MS);
  }
}
