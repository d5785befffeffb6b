import type { z } from 'zod';
import ConfigError, { type FieldProblem } from './ConfigError.js';

const MAX_SHOWN_LENGTH = 60;

const lookUp = (value: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (current, key) => (typeof current === 'object' && current !== null ? Reflect.get(current, key) : undefined),
    value,
  );

const describeFound = (value: unknown): string => {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length > MAX_SHOWN_LENGTH ? `${text.slice(0, MAX_SHOWN_LENGTH)}…` : text;
};

const toProblem = (value: unknown, issue: z.core.$ZodIssue): FieldProblem => ({
  path: issue.path.map(String).join('.'),
  message: `${issue.message}; found ${describeFound(lookUp(value, issue.path))}`,
});

/**
 * Checks a value against a schema.
 *
 * @param schema - the expected shape
 * @param value - the value to check
 * @param options - `source` names the file or message in the error
 * @returns the checked value
 * @throws ConfigError with one problem per wrong field
 * @example
 * const settings = parseWith(settingsSchema, json, { source: 'settings.json' });
 */
export default function parseWith<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  options: { readonly source: string },
): z.output<Schema> {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues.map((issue) => toProblem(value, issue));
  const lines = problems.map(
    (problem) => `${problem.path === '' ? '(whole value)' : problem.path}: ${problem.message}`,
  );
  throw new ConfigError('invalid', `${options.source}: ${lines.join('; ')}`, { problems });
}
