import { toError } from '@bergamotcove/errors';
import { describeError, type Logger } from '@bergamotcove/log';

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
  logger.event('processFailed', { origin, ...describeError(toError(cause)) });
}
