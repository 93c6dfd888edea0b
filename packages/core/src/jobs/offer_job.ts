import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { persistOffer } from "./persist_offer.ts";
import type { JobOffer, JobSpec } from "./types.ts";

/**
 * Starts accepting a job whose input is durably stored. The offer is answered
 * once the job's record is written.
 */
export function offerJob(
  state: InstanceState,
  { offerId, spec }: { readonly offerId: string; readonly spec: JobSpec },
  nowMs: number,
): Step {
  const offer: JobOffer = {
    spec,
    offeredAtMs: nowMs,
    isCallPending: false,
    mustReadBack: false,
    mayHaveRun: false,
    retryAtMs: nowMs,
  };
  const offers = setEntry(state.jobs.offers, offerId, offer);
  const offered = { ...state, jobs: { ...state.jobs, offers } };
  return persistOffer(offered, offerId, nowMs);
}
