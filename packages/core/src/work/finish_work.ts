import { releaseClaim } from "../claims/release_claim.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { finishItem } from "../jobs/finish_item.ts";
import { dropWork } from "./drop_work.ts";
import type { AttemptOutcome, Refusal, Work } from "./types.ts";

/** How work ends: with an upstream's whole answer, or with a refusal. */
export type WorkEnd =
  | {
      readonly kind: "answered";
      readonly outcome: Extract<AttemptOutcome, { kind: "completed" }>;
    }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Ends work and tells its origin. */
export function finishWork(
  state: InstanceState,
  work: Work,
  end: WorkEnd,
): Step {
  const after = dropWork(state, work, nameEvent(end));
  const { origin, workId } = work.order;
  if (origin.kind === "item") {
    return finishItem(after, { origin, work, end });
  }
  return end.kind === "answered"
    ? { state: after, effects: [{ kind: "complete-request", workId }] }
    : refuseRequest(after, work, end.refusal);
}

/** Tells the caller; a key whose request did not run may be used again. */
function refuseRequest(
  state: InstanceState,
  { order: { workId, claimKey, isIdempotent } }: Work,
  refusal: Refusal,
): Step {
  const refused: Step = {
    state,
    effects: [{ kind: "refuse-request", workId, refusal }],
  };
  const isUnrun = refusal.run === "not run" && !isIdempotent;
  return claimKey !== undefined && isUnrun
    ? chainStep(refused, (at) => releaseClaim(at, { claimKey, token: workId }))
    : refused;
}

function nameEvent(end: WorkEnd): "COMPLETE" | "REFUSE" | "FAIL" {
  if (end.kind === "answered") {
    return "COMPLETE";
  }
  return end.refusal.run === "not run" ? "REFUSE" : "FAIL";
}
