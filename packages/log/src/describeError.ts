/** Fields of a log event that describe an error. */
export interface ErrorFields {
  readonly error: string;
  /** Lines of the stack, because the logger truncates long texts; without the message, which may quote a caller. */
  readonly stack: readonly string[] | undefined;
}

/**
 * Formats an error for the log.
 *
 * @param error - unexpected error, whose stack is of use
 * @returns fields of a log event
 * @example
 * logger.event('answerReaderFailed', describeError(error));
 */
export default function describeError({ message, stack }: Error): ErrorFields {
  return { error: message, stack: stack?.split('\n').filter((line) => /^ {4}at /.test(line)) };
}
