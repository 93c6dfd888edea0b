import type { InstanceState, Step } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import type { OfferAnswer } from "./types.ts";

/** Removes an offer and reports its outcome to the caller's task. */
export function answerOffer(
  state: InstanceState,
  offerId: string,
  answer: OfferAnswer,
): Step {
  const offers = dropEntry(state.jobs.offers, offerId);
  return {
    state: { ...state, jobs: { ...state.jobs, offers } },
    effects: [{ kind: "answer-job", offerId, answer }],
  };
}
