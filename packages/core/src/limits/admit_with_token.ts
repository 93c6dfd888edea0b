import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { enqueueOrder } from "../work/enqueue_order.ts";
import type { WorkOrder } from "../work/types.ts";

/** Admits an order whose token was taken from this instance or a peer. */
export function admitWithToken(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  const { customer } = order;
  const limit = state.limits[customer];
  const limits =
    limit === undefined
      ? state.limits
      : setEntry(state.limits, customer, {
          ...limit,
          admitted: limit.admitted + 1,
        });
  return enqueueOrder({ ...state, limits }, order, nowMs);
}
