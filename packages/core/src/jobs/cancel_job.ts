import type { CustomerId, JobId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildJobKey } from "./build_job_key.ts";
import { persistJob } from "./persist_job.ts";
import { setJob } from "./set_job.ts";
import { stopJob } from "./stop_job.ts";

/**
 * Cancels a job on request of its caller: stops it on this instance, notifies
 * all peers and records the cancellation in the job's record.
 */
export function cancelJob(
  state: InstanceState,
  { jobId, customer }: { readonly jobId: JobId; readonly customer: CustomerId },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  const message = { kind: "job-cancelled", jobId } as const;
  const notifications: readonly Effect[] = Object.values(
    state.membership.members,
  ).map(({ instanceId: to }) => ({ kind: "send-peer", to, message }));
  if (job === undefined) {
    const purpose = {
      feature: "jobs",
      operation: "cancel",
      id: jobId,
    } as const;
    const key = buildJobKey(customer, jobId);
    return requestPlatformCall(state, { kind: "get", key }, { purpose, nowMs });
  }
  const isInProgress = job.record.phase === "in_progress";
  if (!isInProgress || job.isCancelled) {
    return { state, effects: [] };
  }
  const stopped = stopJob(
    setJob(state, { ...job, hasCancelRequest: true }),
    jobId,
    nowMs,
  );
  return chainStep(
    { ...stopped, effects: [...stopped.effects, ...notifications] },
    (current) => persistJob(current, jobId, nowMs),
  );
}
