import type { InstanceState } from "../instance/types.ts";
import { returnItem } from "../jobs/return_item.ts";
import { enqueueWork } from "../queue/enqueue_work.ts";
import { dropSharded } from "../sharded/drop_sharded.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { advancePhase } from "./advance_phase.ts";
import { releaseAttempt } from "./release_attempt.ts";
import type { Work } from "./types.ts";

/** Takes work from its attempt back to its queue, or an item to its job. */
export function requeueWork(
  state: InstanceState,
  work: Work,
  {
    event,
    mayHaveRun,
  }: {
    readonly event: "RETRY" | "YIELD";
    readonly mayHaveRun: boolean;
  },
): InstanceState {
  const { workId, origin } = work.order;
  const queued: Work = {
    ...advancePhase(work, event),
    attempt: undefined,
    mayHaveRun: work.mayHaveRun || mayHaveRun,
  };
  const released = releaseAttempt(state, work);
  if (origin.kind === "request") {
    const works = setSharded(released.works, workId, queued);
    return enqueueWork({ ...released, works }, queued, "first");
  }
  const works = dropSharded(released.works, workId);
  // A yielded item has not failed: it keeps its tries.
  const attemptCount =
    event === "YIELD" ? queued.attemptCount - 1 : queued.attemptCount;
  return returnItem({ ...released, works }, origin, attemptCount);
}
