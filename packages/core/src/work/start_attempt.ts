import { holdsKey } from "../config/holds_key.ts";
import type { AttemptId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { countInFlight } from "../upstreams/count_in_flight.ts";
import type { Upstream } from "../upstreams/types.ts";
import { advancePhase } from "./advance_phase.ts";
import type { Work } from "./types.ts";

/** Starts one attempt of `work` at `upstream`. */
export function startAttempt(
  state: InstanceState,
  work: Work,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): Step {
  const { workId, origin, lane } = work.order;
  checkInvariant(
    "runs-for-own-customer",
    state.config === undefined || holdsKey(state.config.document, work.order),
    () => `${workId} for ${work.order.customer}`,
  );
  const attemptCount = state.attemptCount + 1;
  const attemptId = `${state.self.incarnation}-${attemptCount}` as AttemptId;
  const { upstreamId } = upstream;
  const running: Work = {
    ...advancePhase(work, "DISPATCH"),
    attemptCount: work.attemptCount + 1,
    attempt: { attemptId, upstreamId, startedMs: nowMs },
  };
  return {
    state: {
      ...state,
      attemptCount,
      attempts: setSharded(state.attempts, attemptId, workId),
      works: setSharded(state.works, workId, running),
      upstreams: countInFlight(state.upstreams, upstreamId, {
        lane,
        change: 1,
      }),
    },
    effects: [{ kind: "start-attempt", attemptId, workId, upstreamId, origin }],
  };
}
