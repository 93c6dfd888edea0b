import { checkInvariant } from "../invariants/check_invariant.ts";
import { JOB_CHART } from "./job_chart.ts";
import type { JobPhase, JobRecord } from "./types.ts";

/**
 * Applies an event to a job's phase. A missing transition violates an
 * invariant and leaves the record unchanged.
 */
export function advanceJob(record: JobRecord, event: string): JobRecord {
  const next = JOB_CHART.next(record.phase, event);
  checkInvariant(
    "chart-arrow-exists",
    next !== undefined,
    () => `${record.spec.jobId}: ${event} in ${record.phase}`,
  );
  return next === undefined ? record : { ...record, phase: next as JobPhase };
}
