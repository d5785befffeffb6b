import type { z } from 'zod';

const UNITS: Readonly<Record<string, string>> = { string: ' characters', array: ' items', set: ' items' };

/** Removes the prefix that the schema library puts before its own messages. */
const trimMessage = (message: string): string => message.replace(/^Invalid input: /, '');

const describeBound = (origin: string, bound: number | bigint, inclusive: boolean, word: string): string => {
  const strict = inclusive ? '' : ', exclusive';
  return `expected ${word} ${bound}${UNITS[origin] ?? ''}${strict}`;
};

/**
 * Describes what a schema expected where it found a wrong value.
 *
 * @param issue - problem that the schema reported
 * @returns a phrase that starts with `expected`, or the schema's own message
 * @example
 * describeExpected(issue); // 'expected at least 3 items'
 */
export default function describeExpected(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `expected ${issue.expected}`;
    case 'invalid_value':
      return `expected ${issue.values.length > 1 ? 'one of ' : ''}${issue.values.map(String).join(', ')}`;
    case 'too_small':
      return describeBound(issue.origin, issue.minimum, issue.inclusive !== false, 'at least');
    case 'too_big':
      return describeBound(issue.origin, issue.maximum, issue.inclusive !== false, 'at most');
    case 'invalid_format':
      return issue.message.startsWith('expected') ? issue.message : `expected a ${issue.format}`;
    default:
      return trimMessage(issue.message);
  }
}
