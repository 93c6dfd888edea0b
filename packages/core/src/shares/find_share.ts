import type { InstanceState } from "../instance/types.ts";
import type { Share } from "../limits/types.ts";
import { buildGroupKey } from "./build_group_key.ts";

const NO_SHARE: Share = { rate: 0, burst: 0 };

/**
 * Finds the share of a customer's limit that this incarnation holds: the share
 * in the group's record, limited by reductions it has agreed to since.
 */
export function findShare(state: InstanceState, customer: string): Share {
  const groupId = buildGroupKey(customer);
  const group = state.shares.groups[groupId];
  const entry = group?.record.limits[customer]?.[state.self.instanceId];
  const { number } = state.membership;
  if (group === undefined || entry === undefined || entry.number !== number) {
    return NO_SHARE;
  }
  const reduction = state.shares.reductions[groupId];
  const retained =
    reduction !== undefined && group.version <= reduction.version
      ? reduction.shares[customer]
      : undefined;
  return {
    rate: Math.min(entry.rate, retained?.rate ?? entry.rate),
    burst: Math.min(entry.burst, retained?.burst ?? entry.burst),
  };
}
