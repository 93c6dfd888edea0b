import type { InstanceState, Step } from "../instance/types.ts";
import { mergePlan } from "./merge_plan.ts";
import { setRebalance } from "./set_rebalance.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { Rebalance } from "./types.ts";
import { writeGroup } from "./write_group.ts";

/** Writes the planned division with the reductions that holders agreed to. */
export function finishShareReduction(
  state: InstanceState,
  {
    groupId,
    reduction,
  }: {
    readonly groupId: string;
    readonly reduction: Extract<Rebalance, { phase: "lowering" }>;
  },
  nowMs: number,
): Step {
  const group = state.shares.groups[groupId];
  if (group === undefined || group.version !== reduction.version) {
    const nextMs = nowMs + SHARE_TIMES.RETRY_MS;
    return {
      state: setRebalance(state, groupId, { rebalance: undefined, nextMs }),
      effects: [],
    };
  }
  const { plan, kept } = reduction;
  const limits = mergePlan(group.record.limits, plan, kept);
  const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
  const rebalance = { phase: "writing" } as const;
  const skippedUntilMs = nowMs + SHARE_TIMES.UNRESPONSIVE_HOLDER_MS;
  const unanswered = reduction.open.map((id) => [id, skippedUntilMs] as const);
  const unresponsiveUntilMs = {
    ...state.shares.unresponsiveUntilMs,
    ...Object.fromEntries(unanswered),
  };
  const recorded = {
    ...state,
    shares: { ...state.shares, unresponsiveUntilMs },
  };
  return writeGroup(
    setRebalance(recorded, groupId, { rebalance, nextMs }),
    { groupId, limits, reason: "rebalance" },
    nowMs,
  );
}
