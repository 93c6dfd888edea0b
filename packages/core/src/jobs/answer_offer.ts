import type { InstanceState, Step } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import type { OfferAnswer } from "./types.ts";

/** Tells the caller's task what became of an offered job. */
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
