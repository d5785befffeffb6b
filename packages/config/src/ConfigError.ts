import { LayerError } from '@bergamotcove/errors';

/** One wrong field of a settings file, a service document or another checked input. */
export interface FieldProblem {
  /** Path of the field, for instance `stages.1.pool`; empty for the whole value. */
  readonly path: string;
  /** What was expected and what was found. */
  readonly message: string;
}

/** Wrong settings or a wrong service document. */
export default class ConfigError extends LayerError<'invalid' | 'unreadable'> {
  readonly problems: readonly FieldProblem[];

  constructor(
    code: 'invalid' | 'unreadable',
    message: string,
    options: { readonly cause?: unknown; readonly problems?: readonly FieldProblem[] } = {},
  ) {
    super(code, message, { cause: options.cause });
    this.problems = options.problems ?? [];
  }
}
