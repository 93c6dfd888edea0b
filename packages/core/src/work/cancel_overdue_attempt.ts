import type { AttemptId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { endAttempt } from "./end_attempt.ts";
import { findWorkByAttempt } from "./find_work_by_attempt.ts";

/** Cancels a batch attempt that exceeded the run limit of its profile. */
export function cancelOverdueAttempt(
  state: InstanceState,
  attemptId: AttemptId,
  nowMs: number,
): Step {
  const peer = findWorkByAttempt(state, attemptId)?.attempt?.upstreamId;
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
  return chainStep(cancelled, (current) =>
    endAttempt(current, { attemptId, outcome }, nowMs),
  );
}
