import type { InstanceState } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { ITEM_STATES } from "./item_states.ts";

/** Whether this instance has too few items left to start. */
export function shouldClaim(state: InstanceState): boolean {
  const owned = Object.values(state.jobs.owned);
  const startable = owned.reduce(
    (sum, { items }) =>
      sum + items.filter((item) => item <= ITEM_STATES.READY).length,
    0,
  );
  return owned.length < JOBS.MAX_OWNED && startable < JOBS.LOW_ITEMS;
}
