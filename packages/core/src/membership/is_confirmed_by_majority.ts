import type { InstanceState } from "../instance/types.ts";
import { listPeers } from "./list_peers.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Returns whether a majority of the data centre's instances, including this
 * one, has confirmed this incarnation within `FENCE_MS`. The age of a
 * confirmation counts from when this instance sent the echoed heartbeat, so
 * that delayed messages do not extend it.
 */
export function isConfirmedByMajority(
  state: InstanceState,
  nowMs: number,
): boolean {
  const { number, resumedMs, incarnationStatus: status } = state.membership;
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
