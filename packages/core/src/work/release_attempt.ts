import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { countInFlight } from "../upstreams/count_in_flight.ts";
import type { Work } from "./types.ts";

/** Forgets work and gives back the place that its attempt held. */
export function releaseAttempt(
  state: InstanceState,
  work: Work,
): InstanceState {
  const { workId, lane } = work.order;
  const upstreams =
    work.attempt === undefined
      ? state.upstreams
      : countInFlight(state.upstreams, work.attempt.upstreamId, {
          lane,
          change: -1,
        });
  return {
    ...state,
    upstreams,
    works: dropEntry(state.works, workId),
    queue: state.queue.filter((id) => id !== workId),
  };
}
