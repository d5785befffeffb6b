/** Numbered log events. */
import debug from 'debug';

export { LOG_EVENTS } from './events.js';
export { default as eventTexts } from './eventTexts.js';
export type { LogEventName, LogEventSpec, LogLevel } from './events.js';
export { default as formatEventCatalogue } from './formatEventCatalogue.js';
export { default as describeError } from './describeError.js';
export type { ErrorFields } from './describeError.js';
export { default as reportReaderFault } from './reportReaderFault.js';
export { default as createLogger } from './createLogger.js';
export { default as createLineWriter } from './createLineWriter.js';
export type { LineWriter, LineWriterOptions } from './createLineWriter.js';
export type { Logger, LoggerOptions, LogFields, LogValue } from './createLogger.js';

/** Namespaces that are enabled when the `DEBUG` variable is not set. */
export const DEFAULT_NAMESPACES = 'bergamot:*:error,bergamot:*:warn,bergamot:*:info';

/** Enables the given namespaces unless the `DEBUG` variable is set. */
export function enableLogging(namespaces: string = DEFAULT_NAMESPACES): void {
  if (process.env.DEBUG === undefined) {
    debug.enable(namespaces);
  }
}
