import type { AttemptId } from "../ids/types.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { recordUpstreamSignal } from "../upstreams/record_upstream_signal.ts";
import { canRetry } from "./can_retry.ts";
import { findWorkByAttempt } from "./find_work_by_attempt.ts";
import { recordRun } from "./record_run.ts";
import { retryWork } from "./retry_work.ts";

/**
 * Handles a first-token timeout. Idempotent work that may be retried has its
 * attempt cancelled and its connection closed, and is queued again. Other work
 * keeps waiting for the answer until its deadline.
 */
export function expireAttempt(
  state: InstanceState,
  attemptId: AttemptId,
  nowMs: number,
): Step {
  const work = findWorkByAttempt(state, attemptId);
  if (work?.attempt === undefined || work.phase !== "running") {
    return { state, effects: [] };
  }
  const { attempt } = work;
  const signal = { kind: "silent" } as const;
  const recorded = recordUpstreamSignal(state, attempt, { signal, nowMs });
  if (!work.order.isIdempotent || !canRetry(recorded, work, nowMs)) {
    return { state: recorded, effects: [] };
  }
  const before = state.upstreams[attempt.upstreamId];
  const after = recorded.upstreams[attempt.upstreamId];
  checkInvariant(
    "silence-costs-one-timeout",
    before?.silentSinceMs !== undefined ||
      before?.suspectUntilMs === after?.suspectUntilMs,
    () => `${attempt.upstreamId} is suspect after one silent connection`,
  );
  const effects: readonly Effect[] = [
    { kind: "cancel-attempt", attemptId, isSilent: true },
    recordRun(recorded, { work, attempt, outcome: "failed", nowMs }),
  ];
  return { state: retryWork(recorded, work, true), effects };
}
