import type { WorkId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { abandonRequest } from "../work/abandon_request.ts";
import { ITEM_STATES } from "./item_states.ts";
import { requeueItem } from "./requeue_item.ts";
import type { Segment } from "./types.ts";

/**
 * Cancels the running items of a segment and makes them startable again.
 * Non-idempotent items keep running, unless `isAll` is set because the segment
 * is no longer owned.
 */
export function stopItems(
  state: InstanceState,
  { jobId, first, items }: Segment,
  { isAll }: { readonly isAll: boolean },
): Step {
  const running = items.flatMap((item, offset) =>
    item === ITEM_STATES.RUNNING ? [first + offset] : [],
  );
  return chainAll(state, running, (current, index) => {
    const work = getSharded(current.works, `${jobId}/${index}`);
    const canStop = isAll || (work?.order.isIdempotent ?? true);
    if (!canStop) {
      return { state: current, effects: [] };
    }
    const abandoned = abandonRequest(current, `${jobId}/${index}` as WorkId);
    return chainStep(abandoned, (after) => ({
      state: requeueItem(after, { jobId, index }),
      effects: [],
    }));
  });
}
