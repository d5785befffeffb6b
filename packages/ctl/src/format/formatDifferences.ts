import { formatDifference, type Difference } from '@bergamotcove/config';

/**
 * Formats differences as indented lines.
 *
 * @param differences - the differences
 * @returns one line each, or a line that says that there are none
 */
export default function formatDifferences(differences: readonly Difference[]): string {
  return differences.length === 0
    ? '  (no differences)'
    : differences.map((difference) => `  ${formatDifference(difference)}`).join('\n');
}
