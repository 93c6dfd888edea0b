import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer, PlatformRecord } from "../platform/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { adoptJob } from "./adopt_job.ts";
import { answerOffer } from "./answer_offer.ts";
import { JOBS } from "./constants.ts";
import { persistOffer } from "./persist_offer.ts";
import type { JobOffer, JobRecord } from "./types.ts";

/** Handles the answer to a write or read-back of an offered job's record. */
export function handleOfferAnswer(
  state: InstanceState,
  {
    offerId,
    answer,
  }: { readonly offerId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const offer = state.jobs.offers[offerId];
  if (offer === undefined) {
    return { state, effects: [] };
  }
  switch (answer.kind) {
    case "written": {
      const record: JobRecord = { spec: offer.spec, phase: "in_progress" };
      return acceptOffer(state, offerId, {
        record,
        version: answer.version,
        nowMs,
      });
    }
    case "conflict":
      return decideOffer(
        state,
        { offerId, offer, stored: answer.current },
        nowMs,
      );
    case "got":
      return decideOffer(
        state,
        { offerId, offer, stored: answer.record },
        nowMs,
      );
    default: {
      const mayHaveTakenEffect = answer.kind !== "throttled";
      return setOffer(state, offerId, {
        ...offer,
        isCallPending: false,
        mustReadBack: offer.mustReadBack || mayHaveTakenEffect,
        mayHaveRun: offer.mayHaveRun || mayHaveTakenEffect,
        retryAtMs: nowMs + JOBS.RETRY_MS,
      });
    }
  }
}

function acceptOffer(
  state: InstanceState,
  offerId: string,
  stored: {
    readonly record: JobRecord;
    readonly version: number;
    readonly nowMs: number;
  },
): Step {
  const { record } = stored;
  return chainStep(adoptJob(state, stored), (current) =>
    answerOffer(current, offerId, { kind: "accepted", record }),
  );
}

/**
 * Decides an offer by the stored record. A record with the same input is the
 * same job, resent by the caller; without a record the write is repeated.
 */
function decideOffer(
  state: InstanceState,
  {
    offerId,
    offer,
    stored,
  }: {
    readonly offerId: string;
    readonly offer: JobOffer;
    readonly stored: PlatformRecord | undefined;
  },
  nowMs: number,
): Step {
  if (stored === undefined) {
    const unwritten = setOffer(state, offerId, {
      ...offer,
      isCallPending: false,
      mustReadBack: false,
    });
    return chainStep(unwritten, (current) =>
      persistOffer(current, offerId, nowMs),
    );
  }
  const record = JSON.parse(stored.value) as JobRecord;
  return record.spec.inputHash === offer.spec.inputHash
    ? acceptOffer(state, offerId, { record, version: stored.version, nowMs })
    : answerOffer(state, offerId, { kind: "conflict" });
}

function setOffer(
  state: InstanceState,
  offerId: string,
  offer: JobOffer,
): Step {
  const offers = setEntry(state.jobs.offers, offerId, offer);
  return {
    state: { ...state, jobs: { ...state.jobs, offers } },
    effects: [],
  };
}
