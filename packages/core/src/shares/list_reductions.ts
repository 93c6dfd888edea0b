import type { Share } from "../limits/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { GroupRecord, Plan } from "./types.ts";

/** Lists the remaining shares of each holder in limits that a plan reduces. */
export function listReductions(
  limits: GroupRecord["limits"],
  plan: Plan,
): Table<Table<Share>> {
  const reductions = Object.entries(limits).flatMap(([customer, table]) =>
    Object.entries(table).flatMap(([instanceId, entry]) => {
      const planned = plan[customer]?.[instanceId];
      const rate = Math.min(entry.rate, planned?.rate ?? 0);
      const burst = Math.min(entry.burst, planned?.burst ?? 0);
      const taken = Math.max(entry.rate - rate, entry.burst - burst);
      return taken > SHARE_TIMES.EPSILON
        ? [{ customer, instanceId, share: { rate, burst } }]
        : [];
    }),
  );
  return reductions.reduce<Table<Table<Share>>>(
    (byInstance, { customer, instanceId, share }) =>
      setEntry(
        byInstance,
        instanceId,
        setEntry(byInstance[instanceId] ?? {}, customer, share),
      ),
    {},
  );
}
