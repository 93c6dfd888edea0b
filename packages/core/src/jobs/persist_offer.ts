import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type { PlatformCall } from "../platform/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { answerOffer } from "./answer_offer.ts";
import { buildJobKey } from "./build_job_key.ts";
import { JOBS } from "./constants.ts";
import type { JobOffer, JobRecord } from "./types.ts";

/**
 * Writes the record of an offered job, or reads it back after an unanswered
 * write.
 */
export function persistOffer(
  state: InstanceState,
  offerId: string,
  nowMs: number,
): Step {
  const offer = state.jobs.offers[offerId];
  if (offer === undefined || offer.isCallPending || nowMs < offer.retryAtMs) {
    return { state, effects: [] };
  }
  if (nowMs - offer.offeredAtMs >= JOBS.OFFER_TIMEOUT_MS) {
    const run = offer.mayHaveRun ? "may have run" : "not run";
    return answerOffer(state, offerId, { kind: "unavailable", run });
  }
  const pendingOffer = { ...offer, isCallPending: true };
  const offers = setEntry(state.jobs.offers, offerId, pendingOffer);
  return requestPlatformCall(
    { ...state, jobs: { ...state.jobs, offers } },
    buildOfferCall(offer),
    { purpose: { feature: "jobs", operation: "offer", id: offerId }, nowMs },
  );
}

function buildOfferCall({ spec, mustReadBack }: JobOffer): PlatformCall {
  const key = buildJobKey(spec.customer, spec.jobId);
  if (mustReadBack) {
    return { kind: "get", key };
  }
  const record: JobRecord = { spec, phase: "in_progress" };
  return { kind: "cas", key, value: JSON.stringify(record), expect: 0 };
}
