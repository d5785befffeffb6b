import { toError } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';

/** What the process was doing when it failed. */
export type FailureOrigin = NodeJS.UncaughtExceptionOrigin | 'start' | 'stop';

/**
 * Logs the error because of which the process ends.
 *
 * @param logger - logger of the process
 * @param cause - what was thrown
 * @param origin - where it reached the outermost handler
 */
export default function reportFailure(logger: Logger, cause: unknown, origin: FailureOrigin): void {
  const error = toError(cause);
  // A list of lines, because the logger truncates long texts; without the message, which may quote a caller.
  const stack = error.stack?.split('\n').filter((line) => /^ {4}at /.test(line));
  logger.event('processFailed', { origin, error: error.message, stack });
}
