import type { ReturnPlan } from "./types.ts";

/**
 * Records that a caller has returned, if not always here: others are told of
 * about as many returns as come to them.
 */
export function recordReturn(plan: ReturnPlan): ReturnPlan {
  return plan.slice(1);
}
