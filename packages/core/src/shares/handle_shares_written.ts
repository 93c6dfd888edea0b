import type { InstanceState, Step } from "../instance/types.ts";
import { adoptGroup } from "./adopt_group.ts";
import { parseGroup } from "./parse_group.ts";
import type { SharesWritten } from "./types.ts";

/** Adopts a group's record that a share coordinator has written. */
export function handleSharesWritten(
  state: InstanceState,
  { group: groupId, version, value }: SharesWritten,
  nowMs: number,
): Step {
  const record = parseGroup(value);
  if (record === undefined) {
    return { state, effects: [] };
  }
  const group = { version, record };
  const after = adoptGroup(state, { groupId, group }, nowMs);
  return { state: after, effects: [] };
}
