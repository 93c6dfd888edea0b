import type { JobId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setJob } from "./set_job.ts";
import { stopItems } from "./stop_items.ts";

/** Marks a job as cancelled here: none of its items starts any more. */
export function stopJob(
  state: InstanceState,
  jobId: JobId,
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined || job.isCancelled) {
    return { state, effects: [] };
  }
  const marked = setJob(state, { ...job, isCancelled: true, seenMs: nowMs });
  const names = Object.entries(state.jobs.owned)
    .filter(([, segment]) => segment.jobId === jobId)
    .map(([name]) => name);
  return chainAll(marked, names, (at, name) => {
    const segment = at.jobs.owned[name];
    return segment === undefined
      ? { state: at, effects: [] }
      : stopItems(at, segment, { isAll: false });
  });
}
