import { loadChart } from "../charts/load_chart.ts";

/** The chart of a job's record. */
export const JOB_CHART = loadChart("job");
