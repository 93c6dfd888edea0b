import { mkdir, readFile, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { groupBy } from "@gooseberryline/core";
import { renderPlot } from "../plots/render_plot.ts";
import { EXPERIMENT_LIST } from "./experiment_list.ts";
import { renderPage } from "./render_page.ts";
import { runExperiment } from "./run_experiment.ts";
import type { ExperimentResult } from "./types.ts";

const DOCS = new URL("../../../../docs/", import.meta.url);
const PAGE = new URL("CAPACITY.md", DOCS);
const OUTPUT_FOLDER = new URL("capacity/", DOCS);

const { values } = parseArgs({
  options: { seed: { type: "string", default: "1" } },
});

const seed = Number.parseInt(values.seed, 10);
const results = EXPERIMENT_LIST.map((experiment) => {
  const result = runExperiment(experiment, seed);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  return result;
});
await mkdir(OUTPUT_FOLDER, { recursive: true });
const lines = results.map((result) => `${JSON.stringify(result)}\n`).join("");
await writeFile(new URL("run.jsonl", OUTPUT_FOLDER), lines);
const page = await readFile(PAGE, "utf8");
await writeFile(PAGE, renderPage(page, results));
const roles = [...groupBy(results, ({ role }) => role).entries()];
await Promise.all(
  roles.map(([role, rows]) => {
    const file = `${role.replaceAll(" ", "-")}.svg`;
    return writeFile(new URL(file, OUTPUT_FOLDER), renderRolePlots(rows));
  }),
);

/** Renders the plots of a role below each other, each with its fitted line. */
function renderRolePlots(rows: readonly ExperimentResult[]): string {
  const height = 360;
  const plots = rows.map((row, index) => {
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
    return svg.replace(
      "<svg ",
      `<svg y="${index * height}" height="${height}" `,
    );
  });
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" ` +
    `viewBox="0 0 640 ${rows.length * height}">\n${plots.join("")}</svg>\n`
  );
}
