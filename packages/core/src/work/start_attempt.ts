import { holdsKey } from "../config/holds_key.ts";
import type { AttemptId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { countUsableSlots } from "../slots/count_usable_slots.ts";
import { setTimer } from "../timers/set_timer.ts";
import { computeTimeout } from "../upstreams/compute_timeout.ts";
import type { Upstream } from "../upstreams/types.ts";
import { updateInFlight } from "../upstreams/update_in_flight.ts";
import { advancePhase } from "./advance_phase.ts";
import type { Work } from "./types.ts";

/**
 * Starts an attempt of `work` at `upstream` and sets its first-token and run
 * limit timers. Only batch items have a finite run limit.
 */
export function startAttempt(
  state: InstanceState,
  work: Work,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): Step {
  const { order } = work;
  const { workId, origin } = order;
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
  checkStart(state, upstream, { work, nowMs });
  const started: InstanceState = {
    ...state,
    attemptCount,
    attempts: setSharded(state.attempts, attemptId, workId),
    works: setSharded(state.works, workId, running),
    upstreams: updateInFlight(state.upstreams, upstreamId, {
      order,
      change: 1,
    }),
  };
  const dueMs = nowMs + computeTimeout(state, running, upstream);
  const timed = setTimer(started, { kind: "first-token", dueMs, attemptId });
  const maxRunMs = state.config?.document.profiles[order.profile]?.deadlineMs;
  const runLimitMs =
    origin.kind === "item" && maxRunMs !== undefined
      ? nowMs + maxRunMs
      : Number.POSITIVE_INFINITY;
  return {
    state: setTimer(timed, { kind: "run-limit", dueMs: runLimitMs, attemptId }),
    effects: [{ kind: "start-attempt", attemptId, workId, upstreamId, origin }],
  };
}

function checkStart(
  state: InstanceState,
  upstream: Upstream,
  { work, nowMs }: { readonly work: Work; readonly nowMs: number },
): void {
  const { workId, isIdempotent } = work.order;
  checkInvariant(
    "leaving-gets-no-work",
    !upstream.isLeaving,
    () => `${workId} at ${upstream.upstreamId}`,
  );
  checkInvariant(
    "ramp-is-kept",
    upstream.inFlight < countUsableSlots(state, upstream, nowMs),
    () => `${workId} above the slots of ${upstream.upstreamId}`,
  );
  checkInvariant(
    "non-idempotent-runs-once",
    isIdempotent || !work.mayHaveRun,
    () => `${workId} starts again`,
  );
}
