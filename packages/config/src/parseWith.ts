import type { z } from 'zod';
import ConfigError, { type FieldProblem } from './ConfigError.js';
import describeExpected from './_lib/describeExpected.js';
import describeFound from './_lib/describeFound.js';

const formatPath = (path: readonly PropertyKey[]): string => path.map(String).join('.');

const toProblems = (value: unknown, issue: z.core.$ZodIssue): readonly FieldProblem[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: formatPath([...issue.path, key]),
      message: 'expected no field of this name, found an unknown field',
    }));
  }
  const message = `${describeExpected(issue)}, found ${describeFound(value, issue.path)}`;
  return [{ path: formatPath(issue.path), message }];
};

/**
 * Checks a value against a schema.
 *
 * @param schema - the expected shape
 * @param value - the value to check
 * @param options - `source` names the file or message in the error
 * @returns the checked value
 * @throws ConfigError with one problem per wrong field: its path, what was expected and what was found
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
  const problems = result.error.issues.flatMap((issue) => toProblems(value, issue));
  const lines = problems.map(
    (problem) => `${problem.path === '' ? '(whole value)' : problem.path}: ${problem.message}`,
  );
  throw new ConfigError('invalid', `${options.source}: ${lines.join('; ')}`, { problems });
}
