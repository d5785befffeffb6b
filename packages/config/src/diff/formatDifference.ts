import type { Difference } from './types.js';

const formatPath = (path: string): string => (path === '' ? '(whole value)' : path);

/**
 * Formats one difference as a line for a terminal.
 *
 * @param difference - the difference
 * @returns the line; `+` added, `-` removed, `~` changed or reordered
 * @example
 * formatDifference({ type: 'changed', path: 'deadlineMs', before: 3000, after: 2000 }); // '~ deadlineMs: 3000 -> 2000'
 */
export default function formatDifference(difference: Difference): string {
  const path = formatPath(difference.path);
  switch (difference.type) {
    case 'added':
      return `+ ${path}: ${JSON.stringify(difference.after)}`;
    case 'removed':
      return `- ${path}: ${JSON.stringify(difference.before)}`;
    case 'reordered':
      return `~ ${path}: order ${difference.before.join(', ')} -> ${difference.after.join(', ')}`;
    default:
      return `~ ${path}: ${JSON.stringify(difference.before)} -> ${JSON.stringify(difference.after)}`;
  }
}
