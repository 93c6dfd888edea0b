import type { InstanceState } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { listSharded } from "../sharded/list_sharded.ts";

/** Checks, at the end of a planned stop, that no request is cut off by it. */
export function endStop(state: InstanceState): InstanceState {
  const open = listSharded(state.works).filter(
    ({ order }) => order.origin.kind === "request",
  );
  checkInvariant(
    "planned-stop-cuts-nothing",
    open.length === 0,
    () => `${open.length} requests are open, ${open[0]?.order.workId} first`,
  );
  return state;
}
