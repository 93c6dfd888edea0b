import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { persistOffer } from "./persist_offer.ts";
import type { JobOffer, JobSpec } from "./types.ts";

/** Takes a job whose input is safely stored; its record is written first. */
export function offerJob(
  state: InstanceState,
  { offerId, spec }: { readonly offerId: string; readonly spec: JobSpec },
  nowMs: number,
): Step {
  const offer: JobOffer = {
    spec,
    offeredMs: nowMs,
    isAsking: false,
    mustRead: false,
    mayHaveRun: false,
    retryMs: nowMs,
  };
  const offers = setEntry(state.jobs.offers, offerId, offer);
  const offered = { ...state, jobs: { ...state.jobs, offers } };
  return persistOffer(offered, offerId, nowMs);
}
