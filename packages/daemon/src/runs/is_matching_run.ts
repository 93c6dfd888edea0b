import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";

/** Returns whether a run record matches a query. */
export function isMatchingRun(
  run: RunRecord,
  { customer, workId, fromMs, untilMs }: RunQuery,
): boolean {
  return (
    (customer === undefined || run.customer === customer) &&
    (workId === undefined || run.workId === workId) &&
    run.endedMs >= (fromMs ?? 0) &&
    run.endedMs <= (untilMs ?? Number.POSITIVE_INFINITY)
  );
}
