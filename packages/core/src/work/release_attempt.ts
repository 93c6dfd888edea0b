import type { InstanceState } from "../instance/types.ts";
import { dropSharded } from "../sharded/drop_sharded.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { updateInFlight } from "../upstreams/update_in_flight.ts";
import type { Work } from "./types.ts";

/** Detaches the running attempt from `work` and frees its upstream slot. */
export function releaseAttempt(
  state: InstanceState,
  work: Work,
): InstanceState {
  const { attempt } = work;
  if (attempt === undefined) {
    return state;
  }
  const { order } = work;
  const { workId } = order;
  return {
    ...state,
    upstreams: updateInFlight(state.upstreams, attempt.upstreamId, {
      order,
      change: -1,
    }),
    attempts: dropSharded(state.attempts, attempt.attemptId),
    works: setSharded(state.works, workId, { ...work, attempt: undefined }),
  };
}
