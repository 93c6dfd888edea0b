import { loadChart } from "../charts/load_chart.ts";

/** The chart that every piece of work goes through. */
export const WORK_CHART = loadChart("work");
