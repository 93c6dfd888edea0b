import type { WorkId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { abandonRequest } from "../work/abandon_request.ts";
import { ITEM_STATES } from "./item_states.ts";
import type { Segment } from "./types.ts";
import { yieldItem } from "./yield_item.ts";

/**
 * Cancels the running items of a segment and puts them back. Non-idempotent
 * ones run on, unless `isAll` is set since the segment is lost.
 */
export function stopItems(
  state: InstanceState,
  { jobId, first, items }: Segment,
  { isAll }: { readonly isAll: boolean },
): Step {
  const running = items.flatMap((item, offset) =>
    item === ITEM_STATES.RUNNING ? [first + offset] : [],
  );
  return chainAll(state, running, (at, index) => {
    const work = getSharded(at.works, `${jobId}/${index}`);
    const canStop = isAll || (work?.order.isIdempotent ?? true);
    if (!canStop) {
      return { state: at, effects: [] };
    }
    const abandoned = abandonRequest(at, `${jobId}/${index}` as WorkId);
    return chainStep(abandoned, (after) => ({
      state: yieldItem(after, { jobId, index }),
      effects: [],
    }));
  });
}
