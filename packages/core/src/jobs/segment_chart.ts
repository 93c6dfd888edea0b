import { loadChart } from "../charts/load_chart.ts";

/** State chart of an owned segment. */
export const SEGMENT_CHART = loadChart("segment");
