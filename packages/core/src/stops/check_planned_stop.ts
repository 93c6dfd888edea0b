import type { InstanceState } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { listSharded } from "../sharded/list_sharded.ts";

/** Checks at the end of a planned stop that no requests are still in flight. */
export function checkPlannedStop(state: InstanceState): InstanceState {
  const inFlight = listSharded(state.works).filter(
    ({ order }) => order.origin.kind === "request",
  );
  checkInvariant(
    "planned-stop-cuts-nothing",
    inFlight.length === 0,
    () =>
      `${inFlight.length} requests are in flight, first ${inFlight[0]?.order.workId}`,
  );
  return state;
}
