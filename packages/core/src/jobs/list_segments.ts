import type { JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";

/**
 * Lists a job's segment records to find a claimable segment or to finalize the
 * job.
 */
export function listSegments(
  state: InstanceState,
  jobId: JobId,
  nowMs: number,
): Step {
  return requestPlatformCall(
    { ...state, jobs: { ...state.jobs, isScanning: true } },
    { kind: "list", prefix: `segments/${jobId}/` },
    { purpose: { feature: "jobs", operation: "segments", id: jobId }, nowMs },
  );
}
