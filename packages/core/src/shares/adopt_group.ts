import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { applyShares } from "./apply_shares.ts";
import type { Group, GroupRecord } from "./types.ts";

const EMPTY_RECORD: GroupRecord = { writer: "", count: 0, limits: {} };

/** Adopts a group's record if it is newer than the known one. */
export function adoptGroup(
  state: InstanceState,
  {
    groupId,
    group = { version: 0, record: EMPTY_RECORD },
  }: { readonly groupId: string; readonly group?: Group | undefined },
  nowMs: number,
): InstanceState {
  const known = state.shares.groups[groupId];
  if (known !== undefined && group.version <= known.version) {
    return state;
  }
  const groups = setEntry(state.shares.groups, groupId, group);
  const after = { ...state, shares: { ...state.shares, groups } };
  const { limits, count } = group.record;
  const customers = new Set([
    ...Object.keys(known?.record.limits ?? {}),
    ...Object.keys(limits),
  ]);
  const isFirst = known === undefined || known.version === 0;
  const isFirstDivision = isFirst && count === 1;
  return applyShares(after, [...customers], { isFirstDivision, nowMs });
}
