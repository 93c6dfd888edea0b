import type { WorkId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { releaseAttempt } from "./release_attempt.ts";

/** Drops a request whose caller is gone and cancels its attempt. */
export function abandonRequest(state: InstanceState, workId: WorkId): Step {
  const work = state.works[workId];
  if (work === undefined) {
    return { state, effects: [] };
  }
  const attemptId = work.attempt?.attemptId;
  return {
    state: releaseAttempt(state, work),
    effects:
      attemptId === undefined ? [] : [{ kind: "cancel-attempt", attemptId }],
  };
}
