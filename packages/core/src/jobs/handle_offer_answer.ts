import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer, PlatformRecord } from "../platform/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { adoptJob } from "./adopt_job.ts";
import { answerOffer } from "./answer_offer.ts";
import { JOBS } from "./constants.ts";
import { persistOffer } from "./persist_offer.ts";
import type { JobOffer, JobRecord } from "./types.ts";

/** Handles the answer to an offered job's write or read. */
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
      return settleOffer(
        state,
        { offerId, offer, found: answer.current },
        nowMs,
      );
    case "got":
      return settleOffer(
        state,
        { offerId, offer, found: answer.record },
        nowMs,
      );
    default: {
      const isUnsure = answer.kind !== "throttled";
      return keepOffer(state, offerId, {
        ...offer,
        isAsking: false,
        mustRead: offer.mustRead || isUnsure,
        mayHaveRun: offer.mayHaveRun || isUnsure,
        retryMs: nowMs + JOBS.RETRY_MS,
      });
    }
  }
}

function acceptOffer(
  state: InstanceState,
  offerId: string,
  found: {
    readonly record: JobRecord;
    readonly version: number;
    readonly nowMs: number;
  },
): Step {
  const { record } = found;
  return chainStep(adoptJob(state, found), (at) =>
    answerOffer(at, offerId, { kind: "accepted", record }),
  );
}

/** A record of the same input is the job itself, sent again. */
function settleOffer(
  state: InstanceState,
  {
    offerId,
    offer,
    found,
  }: {
    readonly offerId: string;
    readonly offer: JobOffer;
    readonly found: PlatformRecord | undefined;
  },
  nowMs: number,
): Step {
  if (found === undefined) {
    const again = keepOffer(state, offerId, {
      ...offer,
      isAsking: false,
      mustRead: false,
    });
    return chainStep(again, (at) => persistOffer(at, offerId, nowMs));
  }
  const record = JSON.parse(found.value) as JobRecord;
  return record.spec.inputHash === offer.spec.inputHash
    ? acceptOffer(state, offerId, { record, version: found.version, nowMs })
    : answerOffer(state, offerId, { kind: "conflict" });
}

function keepOffer(
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
