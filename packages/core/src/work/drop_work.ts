import type { InstanceState } from "../instance/types.ts";
import { dropQueued } from "../queue/drop_queued.ts";
import { dropSharded } from "../sharded/drop_sharded.ts";
import { advancePhase } from "./advance_phase.ts";
import { releaseAttempt } from "./release_attempt.ts";
import type { Work } from "./types.ts";

/** Ends work with `event`, then removes it from the state. */
export function dropWork(
  state: InstanceState,
  work: Work,
  event: "COMPLETE" | "REFUSE" | "FAIL" | "ABANDON",
): InstanceState {
  advancePhase(work, event);
  const released =
    work.attempt === undefined
      ? dropQueued(state, work)
      : releaseAttempt(state, work);
  const works = dropSharded(released.works, work.order.workId);
  return { ...released, works };
}
