import type { InstanceState, Step } from "../instance/types.ts";
import { admitOrder } from "../limits/admit_order.ts";
import { refuseOrder } from "./refuse_order.ts";
import type { WorkOrder } from "./types.ts";

/** Admits an online request into the queue, or refuses it, "not run". */
export function acceptRequest(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  return state.isStopping
    ? refuseOrder(state, order, {
        code: "stopping",
        message: "this instance is stopping",
      })
    : admitOrder(state, order, nowMs);
}
