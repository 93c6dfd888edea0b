import { buildChart } from "../charts/build_chart.ts";
import { ROLLOUT_TRANSITIONS } from "./rollout_transitions.ts";

/** The steps of a roll-out and what leads from one to another. */
export const ROLLOUT_CHART = buildChart(ROLLOUT_TRANSITIONS);
