import type { InstanceState } from "../instance/types.ts";
import { buildGroupKey } from "./build_group_key.ts";

/** Schedules the record of a customer's group to be read at the next tick. */
export function markGroupStale(
  state: InstanceState,
  customer: string,
  nowMs: number,
): InstanceState {
  const staleGroup = buildGroupKey(customer);
  const shares = { ...state.shares, staleGroup, nextPollMs: nowMs };
  return { ...state, shares };
}
