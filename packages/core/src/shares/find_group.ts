import type { InstanceState } from "../instance/types.ts";
import { buildGroupKey } from "./build_group_key.ts";
import type { Group } from "./types.ts";

/** Finds a customer's group; undefined until its record has been read. */
export function findGroup(
  state: InstanceState,
  customer: string,
): Group | undefined {
  return state.shares.groups[buildGroupKey(customer)];
}
