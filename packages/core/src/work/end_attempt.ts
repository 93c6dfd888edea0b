import type { AttemptId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { assertNever } from "../shared/assert_never.ts";
import { recordUpstreamSignal } from "../upstreams/record_upstream_signal.ts";
import { canRetry } from "./can_retry.ts";
import { dropWork } from "./drop_work.ts";
import { findWorkByAttempt } from "./find_work_by_attempt.ts";
import { finishWork } from "./finish_work.ts";
import { recordRun } from "./record_run.ts";
import { retryWork } from "./retry_work.ts";
import type { AttemptOutcome, Fault, RunCertainty, Work } from "./types.ts";

/**
 * Handles the end of an attempt: completes, retries or refuses its work.
 * Ignores an attempt that is no longer the current one of its work.
 */
export function endAttempt(
  state: InstanceState,
  {
    attemptId,
    outcome,
    bootId,
  }: {
    readonly attemptId: AttemptId;
    readonly outcome: AttemptOutcome;
    readonly bootId?: string;
  },
  nowMs: number,
): Step {
  const work = findWorkByAttempt(state, attemptId);
  if (work?.attempt === undefined) {
    return { state, effects: [] };
  }
  const { attempt } = work;
  checkInvariant(
    "whole-answer-to-own-request",
    attempt.attemptId === attemptId,
    () => `${attemptId} ends ${attempt.attemptId}`,
  );
  const run = recordRun(state, {
    work,
    attempt,
    outcome: outcome.kind,
    nowMs,
  });
  const signal = { kind: "ended", outcome: outcome.kind, bootId } as const;
  const recorded = recordUpstreamSignal(state, attempt, { signal, nowMs });
  return chainStep({ state: recorded, effects: [run] }, (current) =>
    settleOutcome(current, { work, outcome, nowMs }),
  );
}

function settleOutcome(
  state: InstanceState,
  {
    work,
    outcome,
    nowMs,
  }: {
    readonly work: Work;
    readonly outcome: AttemptOutcome;
    readonly nowMs: number;
  },
): Step {
  const isRetryAllowed = canRetry(state, work, nowMs);
  switch (outcome.kind) {
    case "completed":
      return finishWork(state, work, { kind: "answered", outcome });
    case "not-started":
      return isRetryAllowed
        ? { state: retryWork(state, work, false), effects: [] }
        : refuseWork(state, work, {
            fault: outcome.fault,
            run: work.mayHaveRun ? "may have run" : "not run",
          });
    case "failed":
      return isRetryAllowed && work.order.isIdempotent && !outcome.isRelayed
        ? { state: retryWork(state, work, true), effects: [] }
        : refuseWork(state, work, {
            fault: outcome.fault,
            run: "may have run",
          });
    case "cancelled":
      return { state: dropWork(state, work, "ABANDON"), effects: [] };
    default:
      return assertNever(outcome);
  }
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
