import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { ClaimGroup } from "./types.ts";

/** Returns the state with one claim group replaced. */
export function setGroup(
  state: InstanceState,
  id: string,
  group: ClaimGroup,
): InstanceState {
  const groups = setEntry(state.claims.groups, id, group);
  return { ...state, claims: { ...state.claims, groups } };
}
