import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildJobKey } from "./build_job_key.ts";
import type { FreeSegment, Job } from "./types.ts";

/**
 * Reads a job's record before a segment of it is claimed, so that no item
 * starts on knowledge from before a cancellation.
 */
export function checkClaim(
  state: InstanceState,
  { job, free }: { readonly job: Job; readonly free: FreeSegment },
  nowMs: number,
): Step {
  const { jobId, customer } = job.record.spec;
  const jobs = { ...state.jobs, claim: free, isSeeking: true };
  return requestPlatformCall(
    { ...state, jobs },
    { kind: "get", key: buildJobKey(customer, jobId) },
    { purpose: { feature: "jobs", what: "claim", id: jobId }, nowMs },
  );
}
