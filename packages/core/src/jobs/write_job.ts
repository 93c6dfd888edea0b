import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildJobKey } from "./build_job_key.ts";
import { setJob } from "./set_job.ts";
import type { Job, JobRecord } from "./types.ts";

/** Writes a job's record by compare-and-swap against its known version. */
export function writeJob(
  state: InstanceState,
  job: Job,
  { record, nowMs }: { readonly record: JobRecord; readonly nowMs: number },
): Step {
  const { jobId, customer } = job.record.spec;
  return requestPlatformCall(
    setJob(state, { ...job, isCallPending: true }),
    {
      kind: "cas",
      key: buildJobKey(customer, jobId),
      value: JSON.stringify(record),
      expect: job.version,
    },
    { purpose: { feature: "jobs", operation: "job", id: jobId }, nowMs },
  );
}
