import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { finishShareReduction } from "./finish_share_reduction.ts";
import { setRebalance } from "./set_rebalance.ts";
import type { ShareLowered } from "./types.ts";

/** Notes what a holder keeps; the last answer brings the write. */
export function handleShareLowered(
  state: InstanceState,
  {
    from,
    answer,
  }: { readonly from: InstanceId; readonly answer: ShareLowered },
  nowMs: number,
): Step {
  const { group: groupId, version, shares } = answer;
  const running = state.shares.rebalances[groupId];
  const isOpen =
    running?.phase === "lowering" &&
    running.version === version &&
    running.open.includes(from);
  if (!isOpen) {
    return { state, effects: [] };
  }
  const lowering = {
    ...running,
    open: running.open.filter((id) => id !== from),
    kept: setEntry(running.kept, from, shares),
  };
  if (lowering.open.length === 0) {
    return finishShareReduction(state, { groupId, lowering }, nowMs);
  }
  const nextMs = state.shares.nextRebalanceMs[groupId] ?? nowMs;
  const after = setRebalance(state, groupId, { rebalance: lowering, nextMs });
  return { state: after, effects: [] };
}
