import { loadChart } from "../charts/load_chart.ts";

/** State machine of work. */
export const WORK_CHART = loadChart("work");
