import { holdsKey } from "../config/holds_key.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { admitOrder } from "../limits/admit_order.ts";
import { refuseOrder } from "./refuse_order.ts";
import type { WorkOrder } from "./types.ts";

/**
 * Admits an online request. A request is refused as "not run" from the end of
 * the notice period of a planned stop, or when its key has been revoked.
 */
export function acceptRequest(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  if (state.isStopping && nowMs >= state.refuseFromMs) {
    return refuseOrder(state, order, {
      code: "stopping",
      message: "this instance is stopping",
    });
  }
  if (state.config !== undefined && !holdsKey(state.config.document, order)) {
    return refuseOrder(state, order, {
      code: "key_withdrawn",
      message: "the tenant key was withdrawn",
    });
  }
  return admitOrder(state, order, nowMs);
}
