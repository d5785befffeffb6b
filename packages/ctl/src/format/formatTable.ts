const COLUMN_GAP = '  ';

/**
 * Formats rows of text as aligned columns.
 *
 * @param rows - the rows; the first is the heading
 * @returns one line per row
 * @example
 * formatTable([['VERSION', 'BY'], ['12', 'ann']]);
 */
export default function formatTable(rows: readonly (readonly string[])[]): string {
  const columns = Math.max(0, ...rows.map((row) => row.length));
  const widths = Array.from({ length: columns }, (_, index) => Math.max(...rows.map((row) => row[index]?.length ?? 0)));
  return rows
    .map((row) =>
      row
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join(COLUMN_GAP)
        .trimEnd(),
    )
    .join('\n');
}
