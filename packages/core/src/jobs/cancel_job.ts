import type { CustomerId, JobId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { askPlatform } from "../platform/ask_platform.ts";
import { driveJob } from "./drive_job.ts";
import { nameJobKey } from "./name_job_key.ts";
import { setJob } from "./set_job.ts";
import { stopJob } from "./stop_job.ts";

/**
 * Cancels a job for its caller: stops it here, tells every instance, and
 * writes it into the job's record.
 */
export function cancelJob(
  state: InstanceState,
  { jobId, customer }: { readonly jobId: JobId; readonly customer: CustomerId },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  const message = { kind: "job-cancelled", jobId } as const;
  const told: readonly Effect[] = Object.values(state.membership.members).map(
    ({ instanceId: to }) => ({ kind: "send-peer", to, message }),
  );
  if (job === undefined) {
    const purpose = { feature: "jobs", what: "cancel", id: jobId } as const;
    const key = nameJobKey(customer, jobId);
    return askPlatform(state, { kind: "get", key }, { purpose, nowMs });
  }
  const isOpen = job.record.phase === "in_progress";
  if (!isOpen || job.isCancelled) {
    return { state, effects: [] };
  }
  const stopped = stopJob(
    setJob(state, { ...job, isCanceller: true }),
    jobId,
    nowMs,
  );
  return chainStep(
    { ...stopped, effects: [...stopped.effects, ...told] },
    (at) => driveJob(at, jobId, nowMs),
  );
}
