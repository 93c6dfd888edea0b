import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { buildGroupKey } from "./build_group_key.ts";
import type { DemandReported } from "./types.ts";

/** Weight of the newest report against those before it. */
const NEWEST_PART = 0.3;

/** Notes an instance's demand; what it doesn't name counts as none. */
export function recordDemand(
  state: InstanceState,
  from: InstanceId,
  { group, demand }: DemandReported,
): Step {
  const { reports } = state.shares;
  const customers = Object.keys(state.config?.document.customers ?? {});
  const noted = customers
    .filter((customer) => buildGroupKey(customer) === group)
    .map((customer) => {
      const table = reports[customer] ?? {};
      const before = table[from];
      const newest = demand[customer] ?? 0;
      const perSecond =
        before === undefined
          ? newest
          : before + (newest - before) * NEWEST_PART;
      return [customer, { ...table, [from]: perSecond }] as const;
    });
  const after = { ...reports, ...Object.fromEntries(noted) };
  return {
    state: { ...state, shares: { ...state.shares, reports: after } },
    effects: [],
  };
}
