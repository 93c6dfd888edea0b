import { createRequire } from "node:module";
import { buildChart } from "./build_chart.ts";
import type { Chart, ChartFile } from "./types.ts";

const requireFile = createRequire(import.meta.url);

/** Loads `packages/core/charts/<name>.json`; called at module load. */
export function loadChart(name: string): Chart {
  return buildChart(requireFile(`../../charts/${name}.json`) as ChartFile);
}
