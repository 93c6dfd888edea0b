import type { Effect, InstanceState } from "../instance/types.ts";
import type { Attempt, AttemptOutcome, Work } from "./types.ts";

/** Returns the effect that stores the run record of an ended attempt. */
export function recordRun(
  state: InstanceState,
  {
    work,
    attempt,
    outcome,
    nowMs,
  }: {
    readonly work: Work;
    readonly attempt: Attempt;
    readonly outcome: AttemptOutcome["kind"];
    readonly nowMs: number;
  },
): Effect {
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
    outcome,
  };
  return { kind: "record-run", run };
}
