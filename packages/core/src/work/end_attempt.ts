import type { AttemptId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { dropWork } from "./drop_work.ts";
import { findWorkOf } from "./find_work_of.ts";
import { finishWork } from "./finish_work.ts";
import { recordRun } from "./record_run.ts";
import { requeueWork } from "./requeue_work.ts";
import type { AttemptOutcome, Fault, RunCertainty, Work } from "./types.ts";

const MAX_ATTEMPTS = 3;

/** Handles the end of an attempt: answers, retries or refuses its work. */
export function endAttempt(
  state: InstanceState,
  {
    attemptId,
    outcome,
  }: { readonly attemptId: AttemptId; readonly outcome: AttemptOutcome },
  nowMs: number,
): Step {
  const work = findWorkOf(state, attemptId);
  if (work?.attempt === undefined) {
    return { state, effects: [] };
  }
  const { attempt } = work;
  const run = recordRun(state, { work, attempt, outcome: outcome.kind, nowMs });
  return chainStep({ state, effects: [run] }, (at) =>
    settleOutcome(at, work, outcome),
  );
}

function settleOutcome(
  state: InstanceState,
  work: Work,
  outcome: AttemptOutcome,
): Step {
  switch (outcome.kind) {
    case "completed":
      return finishWork(state, work, { kind: "answered", outcome });
    case "not-started":
      return canRetry(work)
        ? retryWork(state, work, false)
        : refuseWork(state, work, {
            fault: outcome.fault,
            run: work.mayHaveRun ? "may have run" : "not run",
          });
    case "failed": {
      const shouldRetry =
        work.order.isIdempotent && !outcome.isRelayed && canRetry(work);
      return shouldRetry
        ? retryWork(state, work, true)
        : refuseWork(state, work, {
            fault: outcome.fault,
            run: "may have run",
          });
    }
    case "cancelled":
      return { state: dropWork(state, work, "ABANDON"), effects: [] };
    default:
      return assertNever(outcome);
  }
}

function canRetry(work: Work): boolean {
  return work.attemptCount < MAX_ATTEMPTS;
}

function retryWork(
  state: InstanceState,
  work: Work,
  mayHaveRun: boolean,
): Step {
  return {
    state: requeueWork(state, work, { event: "RETRY", mayHaveRun }),
    effects: [],
  };
}

function refuseWork(
  state: InstanceState,
  work: Work,
  { fault, run }: { readonly fault: Fault; readonly run: RunCertainty },
): Step {
  return finishWork(state, work, {
    kind: "refused",
    refusal: { fault, run, retryAfterMs: undefined },
  });
}
