import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { GroupRecord, ShareTable } from "./types.ts";

/** Writes a group's record by compare-and-swap on its known version. */
export function writeGroup(
  state: InstanceState,
  {
    groupId,
    limits,
    reason,
  }: {
    readonly groupId: string;
    readonly limits: GroupRecord["limits"];
    readonly reason: "rebalance" | "hand-back" | "take-over";
  },
  nowMs: number,
): Step {
  const known = state.shares.groups[groupId];
  const writeCount = state.shares.writeCount + 1;
  const record: GroupRecord = {
    writer: `${state.self.incarnation}-${writeCount}`,
    count: (known?.record.count ?? 0) + 1,
    limits,
  };
  Object.entries(limits).forEach(([customer, table]) => {
    assertWithinLimit(customer, table);
  });
  return requestPlatformCall(
    { ...state, shares: { ...state.shares, writeCount } },
    {
      kind: "cas",
      key: `shares/${groupId}`,
      value: JSON.stringify(record),
      expect: known?.version ?? 0,
    },
    { purpose: { feature: "shares", operation: reason, id: groupId }, nowMs },
  );
}

function assertWithinLimit(customer: string, table: ShareTable): void {
  const entries = Object.values(table);
  const rate = entries.reduce((sum, entry) => sum + entry.rate, 0);
  const burst = entries.reduce((sum, entry) => sum + entry.burst, 0);
  checkInvariant(
    "shares-within-limit",
    Math.max(rate, burst) <= 1 + SHARE_TIMES.EPSILON,
    () => `${customer}: rate ${rate}, burst ${burst} of 1`,
  );
}
