import type { AttemptId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { setEntry } from "../shared/set_entry.ts";
import { advancePhase } from "./advance_phase.ts";
import { findWorkOf } from "./find_work_of.ts";
import { finishWork } from "./finish_work.ts";
import { releaseAttempt } from "./release_attempt.ts";
import type {
  Attempt,
  AttemptOutcome,
  Fault,
  RunCertainty,
  Work,
} from "./types.ts";

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
  const recorded = recordRun(state, { work, attempt, outcome, nowMs });
  return chainStep(recorded, (at) => settleOutcome(at, work, outcome));
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
        ? requeueWork(state, work)
        : refuseWork(state, work, { fault: outcome.fault, run: "not run" });
    case "failed": {
      const shouldRetry =
        work.order.isIdempotent && !outcome.isRelayed && canRetry(work);
      return shouldRetry
        ? requeueWork(state, work)
        : refuseWork(state, work, {
            fault: outcome.fault,
            run: "may have run",
          });
    }
    case "cancelled":
      return { state: releaseAttempt(state, work), effects: [] };
    default:
      return assertNever(outcome);
  }
}

function canRetry(work: Work): boolean {
  return work.attemptCount < MAX_ATTEMPTS;
}

function requeueWork(state: InstanceState, work: Work): Step {
  const { workId } = work.order;
  const queued = { ...advancePhase(work, "RETRY"), attempt: undefined };
  const released = releaseAttempt(state, work);
  return {
    state: {
      ...released,
      works: setEntry(released.works, workId, queued),
      queue: [workId, ...released.queue],
    },
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

function recordRun(
  state: InstanceState,
  {
    work,
    attempt,
    outcome,
    nowMs,
  }: {
    readonly work: Work;
    readonly attempt: Attempt;
    readonly outcome: AttemptOutcome;
    readonly nowMs: number;
  },
): Step {
  const { workId, origin, customer, profile, service } = work.order;
  const run = {
    workId,
    attemptId: attempt.attemptId,
    origin,
    customer,
    profile,
    service,
    configRevision: state.config?.revision ?? 0,
    upstreamId: attempt.upstreamId,
    startedMs: attempt.startedMs,
    endedMs: nowMs,
    outcome: outcome.kind,
  };
  return { state, effects: [{ kind: "record-run", run }] };
}
