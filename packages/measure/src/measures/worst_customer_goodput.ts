import { measureFairCustomers } from "./fair_customers.ts";
import type { Measure } from "./types.ts";

/** Goodput of the worst-served customer next to one that exceeds its rate. */
export const WORST_CUSTOMER_GOODPUT: Measure = {
  name: "worst-customer-goodput",
  target: ">= 0.99 of what it gets alone",
  run: async (seed) =>
    measureFairCustomers(seed).filter(
      ({ measure }) => measure === "worst-customer-goodput",
    ),
};
