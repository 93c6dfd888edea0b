import type { InstanceState } from "../instance/types.ts";
import { retryItem } from "../jobs/retry_item.ts";
import { enqueueWork } from "../queue/enqueue_work.ts";
import { dropSharded } from "../sharded/drop_sharded.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { advancePhase } from "./advance_phase.ts";
import { releaseAttempt } from "./release_attempt.ts";
import type { Work } from "./types.ts";

/**
 * Detaches work from its attempt and returns it to the front of its queue, or
 * a batch item to its job.
 */
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
  // Preemption is not a failure, so it does not count as an attempt.
  const attemptCount =
    event === "YIELD" ? queued.attemptCount - 1 : queued.attemptCount;
  return retryItem({ ...released, works }, origin, attemptCount);
}
