import type { InstanceState, Step } from "../instance/types.ts";
import { mergePlan } from "./merge_plan.ts";
import { setRebalance } from "./set_rebalance.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { Rebalance } from "./types.ts";
import { writeGroup } from "./write_group.ts";

/** Writes what a plan leads to, with what holders have agreed to by now. */
export function finishShareReduction(
  state: InstanceState,
  {
    groupId,
    lowering,
  }: {
    readonly groupId: string;
    readonly lowering: Extract<Rebalance, { phase: "lowering" }>;
  },
  nowMs: number,
): Step {
  const group = state.shares.groups[groupId];
  if (group === undefined || group.version !== lowering.version) {
    const nextMs = nowMs + SHARE_TIMES.RETRY_MS;
    return {
      state: setRebalance(state, groupId, { rebalance: undefined, nextMs }),
      effects: [],
    };
  }
  const { plan, kept } = lowering;
  const limits = mergePlan(group.record.limits, plan, kept);
  const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
  const rebalance = { phase: "writing" } as const;
  const muteMs = nowMs + SHARE_TIMES.MUTE_MS;
  const silent = lowering.open.map((id) => [id, muteMs] as const);
  const mute = { ...state.shares.mute, ...Object.fromEntries(silent) };
  const noted = { ...state, shares: { ...state.shares, mute } };
  return writeGroup(
    setRebalance(noted, groupId, { rebalance, nextMs }),
    { groupId, limits, why: "rebalance" },
    nowMs,
  );
}
