import type { InstanceState } from "../instance/types.ts";
import { applyShares } from "../shares/apply_shares.ts";
import { buildGroupKey } from "../shares/build_group_key.ts";

/**
 * Builds the limits of the configuration that was just adopted. A lowered
 * rate or burst holds here from now on; tokens above the new cap are gone.
 */
export function buildLimits(
  state: InstanceState,
  nowMs: number,
): InstanceState {
  const customers = Object.keys(state.config?.document.customers ?? {});
  const rebuilt = applyShares({ ...state, limits: {} }, customers, {
    before: state.limits,
    isFresh: false,
    nowMs,
  });
  const { shares } = rebuilt;
  const isKnown = customers.every(
    (customer) => shares.groups[buildGroupKey(customer)] !== undefined,
  );
  return isKnown
    ? rebuilt
    : { ...rebuilt, shares: { ...shares, nextPollMs: nowMs } };
}
