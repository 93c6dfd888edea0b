import type { JobId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { listSharded } from "../sharded/list_sharded.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { abandonRequest } from "../work/abandon_request.ts";

/** Stops a job: no item starts any more, running ones are cancelled. */
export function cancelJob(state: InstanceState, jobId: JobId): Step {
  if (state.jobs[jobId] === undefined) {
    return { state, effects: [] };
  }
  const running = listSharded(state.works)
    .filter(
      ({ order }) =>
        order.origin.kind === "item" && order.origin.jobId === jobId,
    )
    .map(({ order }) => order.workId);
  const stopped = chainAll(state, running, abandonRequest);
  return chainStep(stopped, (at) => ({
    state: { ...at, jobs: dropEntry(at.jobs, jobId) },
    effects: [{ kind: "end-job", jobId, phase: "cancelled" }],
  }));
}
