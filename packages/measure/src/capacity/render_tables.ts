import { groupBy } from "@gooseberryline/core";
import type { ExperimentResult } from "./types.ts";

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

/** Renders one Markdown table per role. */
export function renderTables(results: readonly ExperimentResult[]): string {
  return [...groupBy(results, ({ role }) => role).entries()]
    .map(([role, rows]) => renderRole(role, rows))
    .join("\n");
}

function renderRole(role: string, rows: readonly ExperimentResult[]): string {
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

function renderRow(row: ExperimentResult): string {
  const xs = row.points.map(({ x }) => x);
  const isOver = row.limit !== null && row.atTarget > row.limit;
  const atTarget = `${formatNumber(row.atTarget)} ${row.unit}`;
  const cells = [
    row.quantity,
    `${row.variable}, to ${formatNumber(row.target)}`,
    `${formatNumber(Math.min(...xs))} to ${formatNumber(Math.max(...xs))}`,
    `${formatNumber(row.slope)} ${row.unit} each, from ${formatNumber(row.intercept)}`,
    row.fit.toFixed(3),
    isOver ? `**${atTarget}, over**` : atTarget,
    row.limit === null ? "" : `${formatNumber(row.limit)} ${row.unit}`,
    `${formatNumber(row.reach)} times`,
    `\`${row.mechanism}\``,
  ];
  return `| ${cells.join(" | ")} |`;
}

/** Formats a number with three significant digits and no exponent. */
function formatNumber(value: number): string {
  return value === 0
    ? "0"
    : Number(value.toPrecision(3)).toLocaleString("en-US", {
        maximumSignificantDigits: 3,
      });
}
