import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { buildGroupKey } from "./build_group_key.ts";
import type { DemandReport } from "./types.ts";

/** Weight of the newest report in the moving average. */
const NEWEST_WEIGHT = 0.3;

/** Records an instance's demand; customers not in the report count as 0. */
export function recordDemand(
  state: InstanceState,
  from: InstanceId,
  { group, demand }: DemandReport,
): Step {
  const { demandReports } = state.shares;
  const customers = Object.keys(state.config?.document.customers ?? {});
  const updated = customers
    .filter((customer) => buildGroupKey(customer) === group)
    .map((customer) => {
      const table = demandReports[customer] ?? {};
      const before = table[from];
      const newest = demand[customer] ?? 0;
      const perSecond =
        before === undefined
          ? newest
          : before + (newest - before) * NEWEST_WEIGHT;
      return [customer, { ...table, [from]: perSecond }] as const;
    });
  const after = { ...demandReports, ...Object.fromEntries(updated) };
  return {
    state: { ...state, shares: { ...state.shares, demandReports: after } },
    effects: [],
  };
}
