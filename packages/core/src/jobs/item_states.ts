import { loadChart } from "../charts/load_chart.ts";

const CHART = loadChart("item");

/**
 * Numeric codes of the states in `charts/item.json`, which keep item lists
 * compact.
 */
export const ITEM_STATES = {
  CHART,
  PENDING: CHART.states.indexOf("pending"),
  INTENDING: CHART.states.indexOf("intending"),
  READY: CHART.states.indexOf("ready"),
  RUNNING: CHART.states.indexOf("running"),
  STORING: CHART.states.indexOf("storing"),
  STORED: CHART.states.indexOf("stored"),
  COMPLETED: CHART.states.indexOf("completed"),
} as const;
