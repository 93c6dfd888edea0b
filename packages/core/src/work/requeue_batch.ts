import type { UpstreamId, WorkId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { recordRun } from "./record_run.ts";
import { requeueWork } from "./requeue_work.ts";

/**
 * Cancels the `count` most recently started idempotent batch items at an
 * upstream and returns them to their jobs.
 */
export function requeueBatch(
  state: InstanceState,
  upstreamId: UpstreamId,
  { count, nowMs }: { readonly count: number; readonly nowMs: number },
): Step {
  if (count <= 0 || !state.policy.canYield) {
    return { state, effects: [] };
  }
  const runs = state.upstreams[upstreamId]?.batchRuns ?? [];
  return chainAll(state, runs.slice(-count), (current, workId) =>
    requeueItem(current, workId, nowMs),
  );
}

function requeueItem(
  state: InstanceState,
  workId: WorkId,
  nowMs: number,
): Step {
  const work = getSharded(state.works, workId);
  if (work?.attempt === undefined) {
    return { state, effects: [] };
  }
  const { attempt } = work;
  return {
    state: requeueWork(state, work, { event: "YIELD", mayHaveRun: true }),
    effects: [
      { kind: "cancel-attempt", attemptId: attempt.attemptId },
      recordRun(state, { work, attempt, outcome: "cancelled", nowMs }),
    ],
  };
}
