import VError from 'verror';

/** Options of a {@link LayerError}. */
export interface LayerErrorOptions {
  /** The error from the layer below, of any type. */
  readonly cause?: unknown;
  /** Details for the log, such as ids and sizes; never payloads. */
  readonly info?: Readonly<Record<string, unknown>>;
}

/** Converts a thrown value of any type to an Error. */
export const toError = (value: unknown): Error => (value instanceof Error ? value : new Error(String(value)));

/**
 * Base class of the errors of each layer. A layer extends it with its own codes and passes an error from the layer
 * below as the cause.
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
