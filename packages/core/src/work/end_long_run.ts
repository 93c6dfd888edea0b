import type { AttemptId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { endAttempt } from "./end_attempt.ts";
import { findWorkOf } from "./find_work_of.ts";

/** Ends a batch attempt that ran for longer than its profile allows. */
export function endLongRun(
  state: InstanceState,
  attemptId: AttemptId,
  nowMs: number,
): Step {
  const peer = findWorkOf(state, attemptId)?.attempt?.upstreamId;
  if (peer === undefined) {
    return { state, effects: [] };
  }
  const fault = {
    code: "upstream_silent",
    step: "answer",
    peer,
    message: "the attempt ran for too long",
  } as const;
  const cancelled: Step = {
    state,
    effects: [{ kind: "cancel-attempt", attemptId, isSilent: true }],
  };
  const outcome = { kind: "failed", fault, isRelayed: false } as const;
  return chainStep(cancelled, (at) =>
    endAttempt(at, { attemptId, outcome }, nowMs),
  );
}
