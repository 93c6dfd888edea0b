import type { InstanceState } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { isOwnDataCentreOut } from "./is_own_data_centre_out.ts";
import { ITEM_STATES } from "./item_states.ts";

/** Whether this instance may own more and has few items left to start. */
export function shouldClaim(state: InstanceState): boolean {
  const owned = Object.values(state.jobs.owned);
  const startable = owned.reduce(
    (sum, { items }) =>
      sum + items.filter((item) => item <= ITEM_STATES.READY).length,
    0,
  );
  return (
    !isOwnDataCentreOut(state) &&
    owned.length < JOBS.MAX_OWNED &&
    startable < JOBS.LOW_ITEMS
  );
}
