import type { InstanceId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { parseInstanceRecord } from "../membership/parse_instance_record.ts";
import type { PlatformRecord } from "../platform/types.ts";
import { finishShareReduction } from "./finish_share_reduction.ts";
import { listLowered } from "./list_lowered.ts";
import { planGroup } from "./plan_group.ts";
import { reduceShares } from "./reduce_shares.ts";
import { setRebalance } from "./set_rebalance.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { Group, Holder, Plan, ShareLowerAsked } from "./types.ts";

const PREFIX = "instances/";

/**
 * Plans a group's division among the instances that the platform names, and
 * asks those that shall hold less to agree first.
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
  const asked = listLowered(group.record.limits, plan);
  const lowering = {
    phase: "lowering",
    version,
    untilMs: nowMs + SHARE_TIMES.LOWER_WAIT_MS,
    plan,
    open: Object.keys(asked),
    kept: {},
  } as const;
  if (lowering.open.length === 0) {
    return finishShareReduction(state, { groupId, lowering }, nowMs);
  }
  const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
  const rebalance = lowering;
  const after = setRebalance(state, groupId, { rebalance, nextMs });
  return chainAll(after, Object.entries(asked), (at, [to, shares]) => {
    const message: ShareLowerAsked = {
      kind: "share-lower-asked",
      group: groupId,
      version,
      shares,
    };
    const { instanceId } = at.self;
    return to === instanceId
      ? reduceShares(at, { from: instanceId, asked: message }, nowMs)
      : {
          state: at,
          effects: [{ kind: "send-peer", to: to as InstanceId, message }],
        };
  });
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
    const isMute = (shares.mute[instanceId] ?? 0) > nowMs;
    const isLive = record?.state === "live" && !isStopping && !isMute;
    return isLive
      ? [{ instanceId, dataCentre: record.dataCentre, number: version }]
      : [];
  });
}

function hasChange({ record }: Group, plan: Plan): boolean {
  return Object.entries(plan).some(([customer, wanted]) => {
    const held = record.limits[customer] ?? {};
    const ids = [...Object.keys(held), ...Object.keys(wanted)];
    return ids.some((id) => {
      const rate = (wanted[id]?.rate ?? 0) - (held[id]?.rate ?? 0);
      const burst = (wanted[id]?.burst ?? 0) - (held[id]?.burst ?? 0);
      return Math.max(Math.abs(rate), Math.abs(burst)) > SHARE_TIMES.EPSILON;
    });
  });
}
