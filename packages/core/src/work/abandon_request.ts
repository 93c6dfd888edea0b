import type { WorkId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { dropWaitingOrders } from "../limits/drop_waiting_orders.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { dropWork } from "./drop_work.ts";

/**
 * Discards a request whose caller disconnected, or an item that must stop, and
 * cancels its attempt.
 */
export function abandonRequest(state: InstanceState, workId: WorkId): Step {
  const work = getSharded(state.works, workId);
  if (work === undefined) {
    const { state: after } = dropWaitingOrders(
      state,
      (order) => order.workId === workId,
    );
    return { state: after, effects: [] };
  }
  const attemptId = work.attempt?.attemptId;
  return {
    state: dropWork(state, work, "ABANDON"),
    effects:
      attemptId === undefined ? [] : [{ kind: "cancel-attempt", attemptId }],
  };
}
