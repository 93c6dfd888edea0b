import { mkdir, readFile, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { groupBy } from "@gooseberryline/core";
import { renderPlot } from "../plots/render_plot.ts";
import { EXPERIMENT_LIST } from "./experiment_list.ts";
import { renderPage } from "./render_page.ts";
import { runExperiment } from "./run_experiment.ts";
import type { Slope } from "./types.ts";

const DOCS = new URL("../../../../docs/", import.meta.url);
const PAGE = new URL("CAPACITY.md", DOCS);
const FOLDER = new URL("capacity/", DOCS);

const { values } = parseArgs({
  options: { seed: { type: "string", default: "1" } },
});

const seed = Number.parseInt(values.seed, 10);
const slopes = EXPERIMENT_LIST.map((experiment) => {
  const slope = runExperiment(experiment, seed);
  process.stdout.write(`${JSON.stringify(slope)}\n`);
  return slope;
});
await mkdir(FOLDER, { recursive: true });
const lines = slopes.map((slope) => `${JSON.stringify(slope)}\n`).join("");
await writeFile(new URL("run.jsonl", FOLDER), lines);
const page = await readFile(PAGE, "utf8");
await writeFile(PAGE, renderPage(page, slopes));
const roles = [...groupBy(slopes, ({ role }) => role).entries()];
await Promise.all(
  roles.map(([role, rows]) => {
    const file = `${role.replaceAll(" ", "-")}.svg`;
    return writeFile(new URL(file, FOLDER), renderRole(rows));
  }),
);

/** One plot below the other, each with its line to the target. */
function renderRole(rows: readonly Slope[]): string {
  const height = 360;
  const plots = rows.map((row, at) => {
    const svg = renderPlot({
      title: row.quantity,
      xLabel: `${row.variable} (the size to design for at the right)`,
      yLabel: row.unit,
      series: [
        { name: "measured", points: row.points, hasDots: true, hasLine: false },
        {
          name: "line to the target",
          points: [
            { x: 0, y: Math.max(0, row.intercept) },
            { x: row.target, y: row.atTarget },
          ],
          hasDots: false,
          hasLine: true,
        },
      ],
      marks: row.limit === null ? [] : [{ name: "limit", y: row.limit }],
    });
    return svg.replace("<svg ", `<svg y="${at * height}" height="${height}" `);
  });
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" ` +
    `viewBox="0 0 640 ${rows.length * height}">\n${plots.join("")}</svg>\n`
  );
}
