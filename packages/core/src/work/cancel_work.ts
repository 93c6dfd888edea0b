import type { WorkId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { finishWork } from "./finish_work.ts";
import type { FaultCode } from "./types.ts";

const MESSAGES: Partial<Record<FaultCode, string>> = {
  key_withdrawn: "the tenant key was withdrawn",
  job_cancelled: "the job was cancelled",
  deadline_exceeded: "the deadline passed",
};

/** Cancels work and its running attempt and reports why to its origin. */
export function cancelWork(
  state: InstanceState,
  workId: WorkId,
  code: FaultCode,
): Step {
  const work = getSharded(state.works, workId);
  if (work === undefined) {
    return { state, effects: [] };
  }
  const { attempt } = work;
  const peer = attempt?.upstreamId ?? state.self.instanceId;
  const step = attempt === undefined ? "queue" : "answer";
  const refusal = {
    fault: { code, step, peer, message: MESSAGES[code] ?? code },
    run: attempt === undefined && !work.mayHaveRun ? "not run" : "may have run",
    retryAfterMs: undefined,
  } as const;
  const cancelled: Step = {
    state,
    effects:
      attempt === undefined
        ? []
        : [{ kind: "cancel-attempt", attemptId: attempt.attemptId }],
  };
  return chainStep(cancelled, (current) =>
    finishWork(current, work, { kind: "refused", refusal }),
  );
}
