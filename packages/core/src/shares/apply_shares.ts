import type { InstanceState } from "../instance/types.ts";
import { buildLimit } from "../limits/build_limit.ts";
import type { Limit } from "../limits/types.ts";
import type { Table } from "../shared/types.ts";
import { findShare } from "./find_share.ts";

/** Rebuilds the limits of some customers from the shares currently held. */
export function applyShares(
  state: InstanceState,
  customers: readonly string[],
  {
    before = state.limits,
    isFirstDivision,
    nowMs,
  }: {
    readonly before?: Table<Limit>;
    readonly isFirstDivision: boolean;
    readonly nowMs: number;
  },
): InstanceState {
  const configured = state.config?.document.customers ?? {};
  const rebuilt = customers.flatMap((customer) => {
    const configuredLimit = configured[customer];
    if (configuredLimit === undefined) {
      return [];
    }
    const share = findShare(state, customer);
    const previous = before[customer];
    const limit = buildLimit(previous, configuredLimit, {
      share,
      isFirstDivision,
      nowMs,
    });
    return [[customer, limit] as const];
  });
  return {
    ...state,
    limits: { ...state.limits, ...Object.fromEntries(rebuilt) },
  };
}
