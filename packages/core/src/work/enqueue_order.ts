import type { InstanceState, Step } from "../instance/types.ts";
import { enqueueWork } from "../queue/enqueue_work.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { setTimer } from "../timers/set_timer.ts";
import { createWork } from "./create_work.ts";
import type { WorkOrder } from "./types.ts";

/** Puts an admitted order into the online queue. */
export function enqueueOrder(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  const { workId, deadlineMs: dueMs } = order;
  const work = createWork(order, { nowMs });
  const works = setSharded(state.works, workId, work);
  const queued = enqueueWork({ ...state, works }, work);
  return {
    state: setTimer(queued, { kind: "deadline", dueMs, workId }),
    effects: [],
  };
}
