import type { InstanceState } from "../instance/types.ts";
import type { Share } from "../limits/types.ts";
import { buildGroupKey } from "./build_group_key.ts";

const NO_SHARE: Share = { rate: 0, burst: 0 };

/**
 * Finds the part of a customer's limit that this incarnation holds: what its
 * group's record says, less what it has given up since.
 */
export function findShare(state: InstanceState, customer: string): Share {
  const groupId = buildGroupKey(customer);
  const group = state.shares.groups[groupId];
  const entry = group?.record.limits[customer]?.[state.self.instanceId];
  const { number } = state.membership;
  if (group === undefined || entry === undefined || entry.number !== number) {
    return NO_SHARE;
  }
  const lowered = state.shares.lowered[groupId];
  const kept =
    lowered !== undefined && group.version <= lowered.version
      ? lowered.shares[customer]
      : undefined;
  return {
    rate: Math.min(entry.rate, kept?.rate ?? entry.rate),
    burst: Math.min(entry.burst, kept?.burst ?? entry.burst),
  };
}
