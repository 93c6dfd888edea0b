import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type { PlatformCall } from "../platform/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { answerOffer } from "./answer_offer.ts";
import { buildJobKey } from "./build_job_key.ts";
import { JOBS } from "./constants.ts";
import type { JobOffer, JobRecord } from "./types.ts";

/** Writes, or reads back, the record of an offered job. */
export function persistOffer(
  state: InstanceState,
  offerId: string,
  nowMs: number,
): Step {
  const offer = state.jobs.offers[offerId];
  if (offer === undefined || offer.isAsking || nowMs < offer.retryMs) {
    return { state, effects: [] };
  }
  if (nowMs - offer.offeredMs >= JOBS.OFFER_MS) {
    const run = offer.mayHaveRun ? "may have run" : "not run";
    return answerOffer(state, offerId, { kind: "unavailable", run });
  }
  const asking = { ...offer, isAsking: true };
  const offers = setEntry(state.jobs.offers, offerId, asking);
  return requestPlatformCall(
    { ...state, jobs: { ...state.jobs, offers } },
    buildCall(offer),
    { purpose: { feature: "jobs", what: "offer", id: offerId }, nowMs },
  );
}

function buildCall({ spec, mustRead }: JobOffer): PlatformCall {
  const key = buildJobKey(spec.customer, spec.jobId);
  if (mustRead) {
    return { kind: "get", key };
  }
  const record: JobRecord = { spec, phase: "in_progress" };
  return { kind: "cas", key, value: JSON.stringify(record), expect: 0 };
}
