import type { InstanceState } from "../instance/types.ts";
import { listPeers } from "./list_peers.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Whether more than half of the data centre's instances, this one included,
 * have lately confirmed this very incarnation. Counted from the moment when
 * this instance sent what they echo, so that late messages prolong nothing.
 */
export function isConfirmedByMajority(
  state: InstanceState,
  nowMs: number,
): boolean {
  const { number, resumedMs, standing: status } = state.membership;
  if (number === 0 || status !== "current") {
    return false;
  }
  const sinceMs = Math.max(nowMs - MEMBERSHIP_TIMES.FENCE_MS, resumedMs);
  const peers = listPeers(state);
  const confirming = peers.filter(({ confirmedMs }) => confirmedMs >= sinceMs);
  return (
    confirming.length > 0 && 1 + confirming.length > (1 + peers.length) / 2
  );
}
