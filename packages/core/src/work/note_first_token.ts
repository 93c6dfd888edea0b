import type { AttemptId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { noteSign } from "../upstreams/note_sign.ts";
import { advancePhase } from "./advance_phase.ts";
import { findWorkOf } from "./find_work_of.ts";

/** Notes that an attempt began to answer. */
export function noteFirstToken(
  state: InstanceState,
  {
    attemptId,
    bootId,
  }: { readonly attemptId: AttemptId; readonly bootId?: string },
  nowMs: number,
): Step {
  const work = findWorkOf(state, attemptId);
  if (work?.attempt === undefined || work.phase !== "running") {
    return { state, effects: [] };
  }
  const works = setSharded(
    state.works,
    work.order.workId,
    advancePhase(work, "FIRST_TOKEN"),
  );
  const sign = { kind: "first-token", bootId } as const;
  return {
    state: noteSign({ ...state, works }, work.attempt, { sign, nowMs }),
    effects: [],
  };
}
