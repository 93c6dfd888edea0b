import { loadChart } from "../charts/load_chart.ts";

/** State chart of a job's record. */
export const JOB_CHART = loadChart("job");
