import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { listPeers } from "../membership/list_peers.ts";
import { MEMBERSHIP_TIMES } from "../membership/membership_times.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { GroupRecord } from "./types.ts";
import { writeGroup } from "./write_group.ts";

/**
 * Takes over the shares of this name's earlier incarnation, once it has
 * surely stopped spending: the platform names this one, so many peers have
 * confirmed this one that too few are left to confirm the other, and the
 * fence has passed since.
 */
export function takeOverShares(state: InstanceState, nowMs: number): Step {
  const { shares, membership } = state;
  if (nowMs < shares.nextTakeOverMs) {
    return { state, effects: [] };
  }
  const isClear = isUnconfirmed(state);
  const clearMs = isClear ? (shares.clearMs ?? nowMs) : undefined;
  const nextTakeOverMs = nowMs + SHARE_TIMES.RETRY_MS;
  const after: InstanceState = {
    ...state,
    shares: { ...shares, clearMs, nextTakeOverMs },
  };
  const isOver =
    clearMs !== undefined &&
    nowMs - clearMs >= MEMBERSHIP_TIMES.FENCE_WAIT_MS &&
    membership.standing === "current" &&
    !state.isStopping;
  const due = isOver
    ? Object.entries(shares.groups).filter(([, { record }]) =>
        holdsEarlier(state, record),
      )
    : [];
  return chainAll(after, due, (at, [groupId, { record }]) => {
    const limits = renumberShares(at, record);
    return writeGroup(at, { groupId, limits, why: "take-over" }, nowMs);
  });
}

/** Whether too few peers are left to confirm an earlier incarnation. */
function isUnconfirmed(state: InstanceState): boolean {
  const peers = listPeers(state);
  const count = peers.filter(({ confirmedMs }) => confirmedMs > 0).length;
  const isNamed = state.membership.number > 0;
  return isNamed && (peers.length === 0 || count >= (1 + peers.length) / 2);
}

function holdsEarlier(
  { self, membership }: InstanceState,
  { limits }: GroupRecord,
): boolean {
  return Object.values(limits).some((table) => {
    const number = table[self.instanceId]?.number ?? membership.number;
    return number < membership.number;
  });
}

function renumberShares(
  { self, membership: { number } }: InstanceState,
  { limits }: GroupRecord,
): GroupRecord["limits"] {
  const { instanceId } = self;
  const renumbered = Object.entries(limits).map(([customer, table]) => {
    const entry = table[instanceId];
    return [
      customer,
      entry === undefined
        ? table
        : { ...table, [instanceId]: { ...entry, number } },
    ] as const;
  });
  return Object.fromEntries(renumbered);
}
