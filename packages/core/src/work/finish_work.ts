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
    : {
        state: after,
        effects: [{ kind: "refuse-request", workId, refusal: end.refusal }],
      };
}

function nameEvent(end: WorkEnd): "COMPLETE" | "REFUSE" | "FAIL" {
  if (end.kind === "answered") {
    return "COMPLETE";
  }
  return end.refusal.run === "not run" ? "REFUSE" : "FAIL";
}
