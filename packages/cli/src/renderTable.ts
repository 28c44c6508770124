/** Renders rows as a table with aligned columns. */
export function renderTable(
  titles: readonly string[],
  rows: ReadonlyArray<readonly (string | number)[]>,
): string {
  const cells = [titles, ...rows.map((row) => row.map(String))];
  const widths = titles.map((_title, column) =>
    Math.max(...cells.map((row) => (row[column] ?? '').length)),
  );
  return cells
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
