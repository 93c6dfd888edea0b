import type { BurnRow } from "@gooseberryline/core";
import { encodeHtml } from "./encode_html.ts";

const WIDTH = 720;
const LABEL_WIDTH = 220;
const ROW_HEIGHT = 22;
const BAR_HEIGHT = 14;
const VALUE_WIDTH = 60;

/** Renders one bar per profile and customer, with a line at burn rate 1. */
export function renderBurnPlot(rows: readonly BurnRow[]): string {
  const largest = Math.max(1, ...rows.map(({ burnRate }) => burnRate));
  const scale = (WIDTH - LABEL_WIDTH - VALUE_WIDTH) / largest;
  const height = rows.length * ROW_HEIGHT + ROW_HEIGHT;
  const thresholdX = LABEL_WIDTH + scale;
  const bars = rows.map((row, index) => renderBar(row, index, scale));
  return [
    `<svg viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" role="img">`,
    `<line x1="${thresholdX}" x2="${thresholdX}" y1="0" y2="${height}" `,
    'stroke="#888" stroke-dasharray="3 3"/>',
    ...bars,
    "</svg>",
  ].join("");
}

function renderBar(row: BurnRow, at: number, scale: number): string {
  const y = at * ROW_HEIGHT + ROW_HEIGHT / 2;
  const width = Math.max(1, row.burnRate * scale);
  const colour = row.burnRate > 1 ? "#c33" : "#497";
  const label = encodeHtml(`${row.profile} / ${row.customer}`);
  const textY = y + BAR_HEIGHT - 2;
  return [
    `<text x="0" y="${textY}" font-size="13">${label}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${y}" width="${width}" `,
    `height="${BAR_HEIGHT}" fill="${colour}"/>`,
    `<text x="${LABEL_WIDTH + width + 6}" y="${textY}" font-size="13">`,
    `${row.burnRate.toFixed(2)}</text>`,
  ].join("");
}
