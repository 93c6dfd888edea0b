import { measureFairCustomers } from "./fair_customers.ts";
import type { Measure } from "./types.ts";

/** 95th percentile of the time to first token of the worst-served customer. */
export const ONLINE_P95_FIRST_TOKEN: Measure = {
  name: "online-p95-first-token",
  target: "<= 10 % rise over what it gets alone",
  run: async (seed) =>
    measureFairCustomers(seed).filter(
      ({ measure }) => measure === "online-p95-first-token",
    ),
};
