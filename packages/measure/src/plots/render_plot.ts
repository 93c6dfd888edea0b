import type { Plot, PlotSeries } from "./types.ts";

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = { left: 70, right: 20, top: 36, bottom: 64 } as const;
const TICKS = 5;
const COLOURS = ["#2b6cb0", "#c05621", "#2f855a", "#6b46c1", "#97266d"];

type Scale = (value: number) => number;
type Scales = {
  readonly x: Scale;
  readonly y: Scale;
  readonly maxX: number;
  readonly maxY: number;
};

/** Renders a plot as an SVG document. Both axes start at zero. */
export function renderPlot(plot: Plot): string {
  const scales = buildScales(plot);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" `,
    'font-family="sans-serif" font-size="12">\n',
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="#fff"/>\n`,
    writeText(plot.title, { x: MARGIN.left, y: 20, size: 14 }),
    ...renderAxes(plot, scales),
    ...renderMarks(plot, scales),
    ...plot.series.map((series, index) => renderSeries(series, index, scales)),
    "</svg>\n",
  ].join("");
}

function buildScales({ series, marks = [] }: Plot): Scales {
  const points = series.flatMap((one) => one.points);
  const maxX = Math.max(1e-9, ...points.map(({ x }) => x));
  const maxY =
    1.05 *
    Math.max(1e-9, ...points.map(({ y }) => y), ...marks.map(({ y }) => y));
  const width = WIDTH - MARGIN.left - MARGIN.right;
  const height = HEIGHT - MARGIN.top - MARGIN.bottom;
  return {
    x: (value) => MARGIN.left + (value / maxX) * width,
    y: (value) => HEIGHT - MARGIN.bottom - (value / maxY) * height,
    maxX,
    maxY,
  };
}

function renderAxes(
  { xLabel, yLabel }: Plot,
  { x, y, maxX, maxY }: Scales,
): readonly string[] {
  const steps = Array.from({ length: TICKS + 1 }, (_, index) => index / TICKS);
  const bottom = HEIGHT - MARGIN.bottom;
  const ticksX = steps.map((step) =>
    writeText(printNumber(step * maxX), {
      x: x(step * maxX),
      y: bottom + 16,
      anchor: "middle",
    }),
  );
  const ticksY = steps.map(
    (step) =>
      `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" ` +
      `y1="${y(step * maxY)}" y2="${y(step * maxY)}" stroke="#e2e8f0"/>` +
      writeText(printNumber(step * maxY), {
        x: MARGIN.left - 6,
        y: y(step * maxY) + 4,
        anchor: "end",
      }),
  );
  const label = writeText(xLabel, {
    x: (MARGIN.left + WIDTH) / 2,
    y: bottom + 34,
    anchor: "middle",
  });
  const unit = writeText(yLabel, { x: MARGIN.left, y: MARGIN.top - 2 });
  return [...ticksY, ...ticksX, label, unit];
}

function renderMarks({ marks = [] }: Plot, { y }: Scales): readonly string[] {
  return marks.map(
    (mark) =>
      `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" ` +
      `y1="${y(mark.y)}" y2="${y(mark.y)}" stroke="#c53030" ` +
      'stroke-dasharray="5 4"/>' +
      writeText(mark.name, {
        x: WIDTH - MARGIN.right,
        y: y(mark.y) - 4,
        anchor: "end",
      }),
  );
}

function renderSeries(
  { name, points, hasDots, hasLine }: PlotSeries,
  index: number,
  { x, y }: Scales,
): string {
  const colour = COLOURS[index % COLOURS.length] ?? "#000";
  const path = points.map((point) => `${x(point.x)},${y(point.y)}`).join(" ");
  const line = `<polyline points="${path}" fill="none" stroke="${colour}"/>`;
  const dots = points.map(
    (point) =>
      `<circle cx="${x(point.x)}" cy="${y(point.y)}" r="3.5" ` +
      `fill="${colour}"/>`,
  );
  const legendX = MARGIN.left + index * 180;
  const legendY = HEIGHT - 10;
  return [
    hasLine ? line : "",
    hasDots ? dots.join("") : "",
    `<rect x="${legendX}" y="${legendY - 9}" width="10" height="10" `,
    `fill="${colour}"/>`,
    writeText(name, { x: legendX + 15, y: legendY }),
  ].join("");
}

function writeText(
  text: string,
  position: {
    readonly x: number;
    readonly y: number;
    readonly size?: number;
    readonly anchor?: string;
  },
): string {
  const escaped = text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;");
  const size =
    position.size === undefined ? "" : ` font-size="${position.size}"`;
  const anchor = position.anchor ?? "start";
  return (
    `<text x="${position.x}" y="${position.y}"${size} ` +
    `text-anchor="${anchor}">${escaped}</text>\n`
  );
}

function printNumber(value: number): string {
  return value === 0 ? "0" : String(Number(value.toPrecision(2)));
}
