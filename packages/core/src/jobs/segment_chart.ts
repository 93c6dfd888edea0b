import { loadChart } from "../charts/load_chart.ts";

/** The chart that an owned segment goes through. */
export const SEGMENT_CHART = loadChart("segment");
