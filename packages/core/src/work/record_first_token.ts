import type { AttemptId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { recordUpstreamSignal } from "../upstreams/record_upstream_signal.ts";
import { advancePhase } from "./advance_phase.ts";
import { findWorkByAttempt } from "./find_work_by_attempt.ts";

/** Records the first token of an attempt. */
export function recordFirstToken(
  state: InstanceState,
  {
    attemptId,
    bootId,
  }: { readonly attemptId: AttemptId; readonly bootId?: string },
  nowMs: number,
): Step {
  const work = findWorkByAttempt(state, attemptId);
  if (work?.attempt === undefined || work.phase !== "running") {
    return { state, effects: [] };
  }
  const works = setSharded(
    state.works,
    work.order.workId,
    advancePhase(work, "FIRST_TOKEN"),
  );
  const signal = { kind: "first-token", bootId } as const;
  return {
    state: recordUpstreamSignal({ ...state, works }, work.attempt, {
      signal,
      nowMs,
    }),
    effects: [],
  };
}
