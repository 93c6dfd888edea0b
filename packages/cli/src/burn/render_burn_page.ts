import { BURN_WINDOWS } from "@gooseberryline/core";
import type { BurnAnswer } from "../client/types.ts";
import { encodeHtml } from "./encode_html.ts";
import { renderBurnPlot } from "./render_burn_plot.ts";

const STYLE = [
  "body{font:15px system-ui;margin:2rem;max-width:60rem}",
  "table{border-collapse:collapse}",
  "td,th{padding:.2rem .7rem;text-align:left;border-bottom:1px solid #ddd}",
  ".over{color:#a00;font-weight:600}",
].join("");

/** Renders the burn report as a self-contained HTML page. */
export function renderBurnPage(report: BurnAnswer): string {
  const plots = BURN_WINDOWS.map(({ name }) => {
    const rows = report.rows.filter(({ window }) => window === name);
    return `<h2>Last ${name}</h2>${renderBurnPlot(rows)}`;
  });
  const missing =
    report.missing.length === 0
      ? "all instances reached"
      : `not reached: ${encodeHtml(report.missing.join(", "))}`;
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8">',
    `<title>Service-level burn</title><style>${STYLE}</style>`,
    "<h1>Service-level burn</h1>",
    `<p>${new Date(report.atMs).toISOString()}; ${missing}. `,
    "A burn rate of 1 exhausts the allowance exactly at the window's end.</p>",
    ...plots,
    renderTable(report),
    "</html>\n",
  ].join("\n");
}

function renderTable({ rows }: BurnAnswer): string {
  const lines = rows.map((row) => {
    const cells = [
      row.profile,
      row.customer,
      row.window,
      String(row.total),
      String(row.missed),
      row.burnRate.toFixed(2),
    ];
    const isOver = row.burnRate > 1;
    const inner = cells.map((cell) => `<td>${encodeHtml(cell)}</td>`).join("");
    return `<tr${isOver ? ' class="over"' : ""}>${inner}</tr>`;
  });
  const headings = [
    "profile",
    "customer",
    "window",
    "requests",
    "missed",
    "burn rate",
  ];
  const head = headings.map((text) => `<th>${text}</th>`).join("");
  return `<table><tr>${head}</tr>${lines.join("\n")}</table>`;
}
