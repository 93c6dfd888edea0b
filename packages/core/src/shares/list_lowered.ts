import type { Share } from "../limits/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { GroupRecord, Plan } from "./types.ts";

/** What each holder shall keep of the limits of which a plan takes some. */
export function listLowered(
  limits: GroupRecord["limits"],
  plan: Plan,
): Table<Table<Share>> {
  const lowered = Object.entries(limits).flatMap(([customer, table]) =>
    Object.entries(table).flatMap(([instanceId, entry]) => {
      const wanted = plan[customer]?.[instanceId];
      const rate = Math.min(entry.rate, wanted?.rate ?? 0);
      const burst = Math.min(entry.burst, wanted?.burst ?? 0);
      const taken = Math.max(entry.rate - rate, entry.burst - burst);
      return taken > SHARE_TIMES.EPSILON
        ? [{ customer, instanceId, share: { rate, burst } }]
        : [];
    }),
  );
  return lowered.reduce<Table<Table<Share>>>(
    (byInstance, { customer, instanceId, share }) =>
      setEntry(
        byInstance,
        instanceId,
        setEntry(byInstance[instanceId] ?? {}, customer, share),
      ),
    {},
  );
}
