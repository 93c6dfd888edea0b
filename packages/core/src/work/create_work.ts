import type { Work, WorkOrder } from "./types.ts";
import { WORK_CHART } from "./work_chart.ts";

/** Creates work for an accepted order after `attemptCount` earlier attempts. */
export function createWork(
  order: WorkOrder,
  {
    nowMs,
    attemptCount = 0,
  }: { readonly nowMs: number; readonly attemptCount?: number },
): Work {
  return {
    order,
    phase: WORK_CHART.initial,
    acceptedMs: nowMs,
    attemptCount,
    attempt: undefined,
    mayHaveRun: false,
  };
}
