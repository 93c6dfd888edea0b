import type { InstanceState, Step } from "../instance/types.ts";
import { dropWork } from "./drop_work.ts";
import { getEndEvent } from "./get_end_event.ts";
import type { Refusal, Work } from "./types.ts";

/**
 * Ends the work of a request and sends the refusal to the caller. Leaves the
 * request's claim in place.
 */
export function refuseRequest(
  state: InstanceState,
  work: Work,
  refusal: Refusal,
): Step {
  const after = dropWork(
    state,
    work,
    getEndEvent({ kind: "refused", refusal }),
  );
  const { workId } = work.order;
  return {
    state: after,
    effects: [{ kind: "refuse-request", workId, refusal }],
  };
}
