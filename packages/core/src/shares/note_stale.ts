import type { InstanceState } from "../instance/types.ts";
import { nameGroup } from "./name_group.ts";

/** Lets the record of a customer's group be read at the next tick. */
export function noteStale(
  state: InstanceState,
  customer: string,
  nowMs: number,
): InstanceState {
  const staleGroup = nameGroup(customer);
  const shares = { ...state.shares, staleGroup, nextPollMs: nowMs };
  return { ...state, shares };
}
