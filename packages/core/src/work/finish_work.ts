import { releaseClaim } from "../claims/release_claim.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { finishItem } from "../jobs/finish_item.ts";
import { dropWork } from "./drop_work.ts";
import { getEndEvent } from "./get_end_event.ts";
import { refuseRequest } from "./refuse_request.ts";
import type { Work, WorkEnd } from "./types.ts";

/** Ends work and reports the result to the job or caller it came from. */
export function finishWork(
  state: InstanceState,
  work: Work,
  end: WorkEnd,
): Step {
  const { origin, workId } = work.order;
  if (origin.kind === "item") {
    const after = dropWork(state, work, getEndEvent(end));
    return finishItem(after, { origin, work, end });
  }
  if (end.kind === "refused") {
    return refuseClaimed(state, work, end);
  }
  const after = dropWork(state, work, getEndEvent(end));
  return { state: after, effects: [{ kind: "complete-request", workId }] };
}

/**
 * Refuses a request and, if it did not run, releases its claim so that the
 * idempotency key can be used again.
 */
function refuseClaimed(
  state: InstanceState,
  work: Work,
  { refusal }: Extract<WorkEnd, { kind: "refused" }>,
): Step {
  const { workId, claimKey, isIdempotent } = work.order;
  const refused = refuseRequest(state, work, refusal);
  const isReleasable = refusal.run === "not run" && !isIdempotent;
  return claimKey !== undefined && isReleasable
    ? chainStep(refused, (current) =>
        releaseClaim(current, { claimKey, token: workId }),
      )
    : refused;
}
