import type { Logger, LogFields } from './createLogger.js';
import describeError from './describeError.js';

/**
 * Logs an exception that was thrown while an answer was read, and that failed only the request of the answer.
 *
 * @param logger - logger of the process
 * @param error - what was thrown
 * @param fields - ids of the request and its server, where they are known
 */
export default function reportReaderFault(logger: Logger, error: Error, fields: LogFields = {}): void {
  logger.event('answerReaderFailed', { ...fields, ...describeError(error) });
}
