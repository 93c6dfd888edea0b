import { groupBy } from "@gooseberryline/core";
import type { Slope } from "./types.ts";

const HEADINGS = [
  "quantity",
  "varied",
  "measured",
  "slope",
  "fit",
  "at the size",
  "limit",
  "reach",
  "carried by",
] as const;

/** Renders one Markdown table a role. */
export function renderTables(slopes: readonly Slope[]): string {
  return [...groupBy(slopes, ({ role }) => role).entries()]
    .map(([role, rows]) => renderRole(role, rows))
    .join("\n");
}

function renderRole(role: string, rows: readonly Slope[]): string {
  const lines = rows.map((row) => renderRow(row));
  return [
    `### ${role}`,
    "",
    `| ${HEADINGS.join(" | ")} |`,
    `| ${HEADINGS.map(() => "---").join(" | ")} |`,
    ...lines,
    "",
  ].join("\n");
}

function renderRow(row: Slope): string {
  const xs = row.points.map(({ x }) => x);
  const isOver = row.limit !== null && row.atTarget > row.limit;
  const atTarget = `${print(row.atTarget)} ${row.unit}`;
  const cells = [
    row.quantity,
    `${row.variable}, to ${print(row.target)}`,
    `${print(Math.min(...xs))} to ${print(Math.max(...xs))}`,
    `${print(row.slope)} ${row.unit} each, from ${print(row.intercept)}`,
    row.fit.toFixed(3),
    isOver ? `**${atTarget}, over**` : atTarget,
    row.limit === null ? "" : `${print(row.limit)} ${row.unit}`,
    `${print(row.reach)} times`,
    `\`${row.mechanism}\``,
  ];
  return `| ${cells.join(" | ")} |`;
}

/** Prints a number with three significant digits and no exponent. */
function print(value: number): string {
  return value === 0
    ? "0"
    : Number(value.toPrecision(3)).toLocaleString("en-US", {
        maximumSignificantDigits: 3,
      });
}
