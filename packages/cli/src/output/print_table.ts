/** Formats rows as a table with aligned columns; numbers align right. */
export function printTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const widths = headings.map((heading, column) =>
    Math.max(
      heading.length,
      ...rows.map((row) => String(row[column] ?? "").length),
    ),
  );
  const printRow = (row: readonly (string | number)[]): string =>
    row
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return typeof cell === "number"
          ? String(cell).padStart(width)
          : cell.padEnd(width);
      })
      .join("  ")
      .trimEnd();
  return [headings, ...rows].map((row) => `${printRow(row)}\n`).join("");
}
