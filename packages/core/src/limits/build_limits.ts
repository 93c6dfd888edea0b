import type { InstanceState } from "../instance/types.ts";
import { applyShares } from "../shares/apply_shares.ts";
import { buildGroupKey } from "../shares/build_group_key.ts";

/**
 * Rebuilds all limits after a configuration was adopted. A lower rate or burst
 * takes effect immediately, and tokens above the new cap are discarded.
 */
export function buildLimits(
  state: InstanceState,
  nowMs: number,
): InstanceState {
  const customers = Object.keys(state.config?.document.customers ?? {});
  const rebuilt = applyShares({ ...state, limits: {} }, customers, {
    before: state.limits,
    isFirstDivision: false,
    nowMs,
  });
  const { shares } = rebuilt;
  const hasAllGroups = customers.every(
    (customer) => shares.groups[buildGroupKey(customer)] !== undefined,
  );
  return hasAllGroups
    ? rebuilt
    : { ...rebuilt, shares: { ...shares, nextPollMs: nowMs } };
}
