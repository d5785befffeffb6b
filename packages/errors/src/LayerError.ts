import VError from 'verror';

/** Options of a {@link LayerError}. */
export interface LayerErrorOptions {
  /** The error from the layer below. */
  readonly cause?: unknown;
  /** Facts for the log, such as ids and sizes; never payloads. */
  readonly info?: Readonly<Record<string, unknown>>;
}

/** Turns a thrown value of any type into an error. */
export const toError = (value: unknown): Error => (value instanceof Error ? value : new Error(String(value)));

/**
 * Base of the errors of each layer. A layer subclasses it with its own codes and wraps errors from the layer below
 * as the cause.
 *
 * @example
 * class StoreError extends LayerError<'unavailable' | 'timeout'> {}
 * throw new StoreError('unavailable', 'store refused the connection', { cause });
 */
export default class LayerError<Code extends string> extends VError {
  /** Machine-readable reason within the layer. */
  readonly code: Code;

  constructor(code: Code, message: string, options: LayerErrorOptions = {}) {
    const cause = options.cause === undefined ? {} : { cause: toError(options.cause) };
    super({ ...cause, info: { ...options.info, code } }, '%s', message);
    this.code = code;
    this.name = new.target.name;
  }
}
