import type { JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setItem } from "./set_item.ts";
import { ITEM_STATES, type ItemResult, type Job } from "./types.ts";

/** Counts an item whose result is stored; ends the job after its last. */
export function settleResult(
  state: InstanceState,
  {
    jobId,
    index,
    result,
  }: {
    readonly jobId: JobId;
    readonly index: number;
    readonly result: ItemResult;
  },
): Step {
  const job = state.jobs[jobId];
  if (job === undefined) {
    return { state, effects: [] };
  }
  checkInvariant(
    "item-completes-once",
    job.items[index] === ITEM_STATES.STORING,
    () => `${jobId}/${index} in state ${job.items[index]}`,
  );
  const itemState =
    result.kind === "answer" ? ITEM_STATES.COMPLETED : ITEM_STATES.FAILED;
  const after = setItem(state, job, { index, itemState });
  return isDone(after.jobs[jobId])
    ? {
        state: { ...after, jobs: dropEntry(after.jobs, jobId) },
        effects: [{ kind: "end-job", jobId, phase: "completed" }],
      }
    : { state: after, effects: [] };
}

function isDone(job: Job | undefined): boolean {
  return job?.items.every((item) => item >= ITEM_STATES.COMPLETED) ?? false;
}
