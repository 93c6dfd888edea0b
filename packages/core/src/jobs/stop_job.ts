import type { JobId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setJob } from "./set_job.ts";
import { stopItems } from "./stop_items.ts";

/**
 * Marks a job as cancelled on this instance, so that no further items start,
 * and stops its running items.
 */
export function stopJob(
  state: InstanceState,
  jobId: JobId,
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined || job.isCancelled) {
    return { state, effects: [] };
  }
  const cancelled = setJob(state, {
    ...job,
    isCancelled: true,
    changeSeenAtMs: nowMs,
  });
  const segmentKeys = Object.entries(state.jobs.owned)
    .filter(([, segment]) => segment.jobId === jobId)
    .map(([segmentKey]) => segmentKey);
  return chainAll(cancelled, segmentKeys, (current, segmentKey) => {
    const segment = current.jobs.owned[segmentKey];
    return segment === undefined
      ? { state: current, effects: [] }
      : stopItems(current, segment, { isAll: false });
  });
}
