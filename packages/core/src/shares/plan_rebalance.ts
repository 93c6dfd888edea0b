import type { InstanceId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { parseInstanceRecord } from "../membership/parse_instance_record.ts";
import type { PlatformRecord } from "../platform/types.ts";
import { finishShareReduction } from "./finish_share_reduction.ts";
import { listReductions } from "./list_reductions.ts";
import { planGroup } from "./plan_group.ts";
import { reduceShares } from "./reduce_shares.ts";
import { setRebalance } from "./set_rebalance.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { Group, Holder, Plan, ShareReductionRequest } from "./types.ts";

const PREFIX = "instances/";

/**
 * Plans a group's division among the instances listed by the platform, and
 * requests agreement from the holders whose shares are reduced.
 */
export function planRebalance(
  state: InstanceState,
  {
    groupId,
    records,
  }: {
    readonly groupId: string;
    readonly records: readonly PlatformRecord[];
  },
  nowMs: number,
): Step {
  const group = state.shares.groups[groupId];
  const plan = planGroup(state, groupId, listHolders(state, records, nowMs));
  if (group === undefined || !hasChange(group, plan)) {
    const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
    return {
      state: setRebalance(state, groupId, { rebalance: undefined, nextMs }),
      effects: [],
    };
  }
  const { version } = group;
  const reductions = listReductions(group.record.limits, plan);
  const reduction = {
    phase: "lowering",
    version,
    untilMs: nowMs + SHARE_TIMES.REDUCTION_TIMEOUT_MS,
    plan,
    open: Object.keys(reductions),
    kept: {},
  } as const;
  if (reduction.open.length === 0) {
    return finishShareReduction(state, { groupId, reduction }, nowMs);
  }
  const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
  const rebalance = reduction;
  const after = setRebalance(state, groupId, { rebalance, nextMs });
  return chainAll(
    after,
    Object.entries(reductions),
    (current, [to, shares]) => {
      const message: ShareReductionRequest = {
        kind: "share-lower-asked",
        group: groupId,
        version,
        shares,
      };
      const { instanceId } = current.self;
      return to === instanceId
        ? reduceShares(current, { from: instanceId, request: message }, nowMs)
        : {
            state: current,
            effects: [{ kind: "send-peer", to: to as InstanceId, message }],
          };
    },
  );
}

function listHolders(
  { membership, shares }: InstanceState,
  records: readonly PlatformRecord[],
  nowMs: number,
): readonly Holder[] {
  return records.flatMap(({ key, value, version }) => {
    const record = parseInstanceRecord(value);
    const instanceId = key.slice(PREFIX.length);
    const isStopping = membership.members[instanceId]?.isStopping ?? false;
    const isUnresponsive =
      (shares.unresponsiveUntilMs[instanceId] ?? 0) > nowMs;
    const isLive = record?.state === "live" && !isStopping && !isUnresponsive;
    return isLive
      ? [{ instanceId, dataCentre: record.dataCentre, number: version }]
      : [];
  });
}

function hasChange({ record }: Group, plan: Plan): boolean {
  return Object.entries(plan).some(([customer, planned]) => {
    const held = record.limits[customer] ?? {};
    const ids = [...Object.keys(held), ...Object.keys(planned)];
    return ids.some((id) => {
      const rate = (planned[id]?.rate ?? 0) - (held[id]?.rate ?? 0);
      const burst = (planned[id]?.burst ?? 0) - (held[id]?.burst ?? 0);
      return Math.max(Math.abs(rate), Math.abs(burst)) > SHARE_TIMES.EPSILON;
    });
  });
}
