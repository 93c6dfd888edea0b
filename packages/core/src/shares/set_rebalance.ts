import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Rebalance } from "./types.ts";

/** Sets a group's rebalance progress; undefined ends it until `nextMs`. */
export function setRebalance(
  state: InstanceState,
  groupId: string,
  {
    rebalance,
    nextMs,
  }: { readonly rebalance: Rebalance | undefined; readonly nextMs: number },
): InstanceState {
  const { shares } = state;
  const rebalances =
    rebalance === undefined
      ? dropEntry(shares.rebalances, groupId)
      : setEntry(shares.rebalances, groupId, rebalance);
  const nextRebalanceMs = setEntry(shares.nextRebalanceMs, groupId, nextMs);
  return { ...state, shares: { ...shares, rebalances, nextRebalanceMs } };
}
