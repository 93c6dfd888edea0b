import { loadChart } from "../charts/load_chart.ts";

/** State chart of work. */
export const WORK_CHART = loadChart("work");
