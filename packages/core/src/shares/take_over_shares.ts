import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { listPeers } from "../membership/list_peers.ts";
import { MEMBERSHIP_TIMES } from "../membership/membership_times.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { GroupRecord } from "./types.ts";
import { writeGroup } from "./write_group.ts";

/**
 * Takes over the shares of an earlier incarnation of this instance once that
 * incarnation can no longer spend: the platform has registered this one, enough
 * peers have confirmed it that the earlier one can't reach a quorum, and the
 * fence wait has passed since.
 */
export function takeOverShares(state: InstanceState, nowMs: number): Step {
  const { shares, membership } = state;
  if (nowMs < shares.nextTakeOverMs) {
    return { state, effects: [] };
  }
  const isUnconfirmable = isEarlierUnconfirmable(state);
  const unconfirmedSinceMs = isUnconfirmable
    ? (shares.unconfirmedSinceMs ?? nowMs)
    : undefined;
  const nextTakeOverMs = nowMs + SHARE_TIMES.RETRY_MS;
  const after: InstanceState = {
    ...state,
    shares: { ...shares, unconfirmedSinceMs, nextTakeOverMs },
  };
  const canTakeOver =
    unconfirmedSinceMs !== undefined &&
    nowMs - unconfirmedSinceMs >= MEMBERSHIP_TIMES.FENCE_WAIT_MS &&
    membership.incarnationStatus === "current" &&
    !state.isStopping;
  const due = canTakeOver
    ? Object.entries(shares.groups).filter(([, { record }]) =>
        holdsEarlierShares(state, record),
      )
    : [];
  return chainAll(after, due, (current, [groupId, { record }]) => {
    const limits = renumberShares(current, record);
    return writeGroup(current, { groupId, limits, reason: "take-over" }, nowMs);
  });
}

/** Returns whether too few peers are left to confirm an earlier incarnation. */
function isEarlierUnconfirmable(state: InstanceState): boolean {
  const peers = listPeers(state);
  const count = peers.filter(({ confirmedMs }) => confirmedMs > 0).length;
  const isRegistered = state.membership.number > 0;
  return (
    isRegistered && (peers.length === 0 || count >= (1 + peers.length) / 2)
  );
}

function holdsEarlierShares(
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
