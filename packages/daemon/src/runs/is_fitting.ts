import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";

/** Whether a run record is one of those that a query asks for. */
export function isFitting(
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
