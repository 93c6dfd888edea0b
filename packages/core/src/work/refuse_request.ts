import type { InstanceState, Step } from "../instance/types.ts";
import { dropWork } from "./drop_work.ts";
import { getEndEvent } from "./get_end_event.ts";
import type { Refusal, Work } from "./types.ts";

/** Ends a request's work and tells the caller; its claim is left as it is. */
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
