import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { finishShareReduction } from "./finish_share_reduction.ts";
import { setRebalance } from "./set_rebalance.ts";
import type { ShareReductionAnswer } from "./types.ts";

/** Records the shares a holder keeps; the last answer triggers the write. */
export function handleReductionAnswer(
  state: InstanceState,
  {
    from,
    answer,
  }: { readonly from: InstanceId; readonly answer: ShareReductionAnswer },
  nowMs: number,
): Step {
  const { group: groupId, version, shares } = answer;
  const running = state.shares.rebalances[groupId];
  const isPending =
    running?.phase === "lowering" &&
    running.version === version &&
    running.open.includes(from);
  if (!isPending) {
    return { state, effects: [] };
  }
  const reduction = {
    ...running,
    open: running.open.filter((id) => id !== from),
    kept: setEntry(running.kept, from, shares),
  };
  if (reduction.open.length === 0) {
    return finishShareReduction(state, { groupId, reduction }, nowMs);
  }
  const nextMs = state.shares.nextRebalanceMs[groupId] ?? nowMs;
  const after = setRebalance(state, groupId, { rebalance: reduction, nextMs });
  return { state: after, effects: [] };
}
