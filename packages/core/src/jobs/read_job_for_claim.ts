import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildJobKey } from "./build_job_key.ts";
import type { ClaimableSegment, Job } from "./types.ts";

/**
 * Reads a job's record before one of its segments is claimed, so that no item
 * starts on the basis of a record that predates a cancellation.
 */
export function readJobForClaim(
  state: InstanceState,
  {
    job,
    claimable,
  }: { readonly job: Job; readonly claimable: ClaimableSegment },
  nowMs: number,
): Step {
  const { jobId, customer } = job.record.spec;
  const jobs = { ...state.jobs, claim: claimable, isScanning: true };
  return requestPlatformCall(
    { ...state, jobs },
    { kind: "get", key: buildJobKey(customer, jobId) },
    { purpose: { feature: "jobs", operation: "claim", id: jobId }, nowMs },
  );
}
