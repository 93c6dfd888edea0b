import { checkInvariant } from "../invariants/check_invariant.ts";
import { JOB_CHART } from "./job_chart.ts";
import type { JobPhase, JobRecord } from "./types.ts";

/** Moves a job's record along its chart; without an arrow it stays. */
export function advanceJob(record: JobRecord, event: string): JobRecord {
  const next = JOB_CHART.next(record.phase, event);
  checkInvariant(
    "chart-arrow-exists",
    next !== undefined,
    () => `${record.spec.jobId}: ${event} in ${record.phase}`,
  );
  return next === undefined ? record : { ...record, phase: next as JobPhase };
}
