import type { InstanceState } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { isOwnDataCentreEvacuated } from "./is_own_data_centre_evacuated.ts";
import { ITEM_STATES } from "./item_states.ts";

/**
 * Returns whether this instance has few startable items and may own another
 * segment.
 */
export function shouldClaimSegment(state: InstanceState): boolean {
  const owned = Object.values(state.jobs.owned);
  const startableCount = owned.reduce(
    (sum, { items }) =>
      sum + items.filter((item) => item <= ITEM_STATES.READY).length,
    0,
  );
  return (
    !isOwnDataCentreEvacuated(state) &&
    owned.length < JOBS.MAX_OWNED_SEGMENTS &&
    startableCount < JOBS.MIN_STARTABLE_ITEMS
  );
}
