import { assertNever } from "../shared/assert_never.ts";
import { ATTEMPTS } from "./constants.ts";
import type {
  AttemptEnd,
  NextStep,
  RequestProgress,
  RetryPolicy,
} from "./types.ts";

/**
 * Decides how to continue a request after an attempt ended. A request that may
 * have run is retried only if the route allows it; a stream that has started is
 * retried only if it can be resumed. One that may have crashed its upstream is
 * not sent to another.
 */
export function decideNextStep(
  policy: RetryPolicy,
  progress: RequestProgress,
  end: AttemptEnd,
): NextStep {
  switch (end.kind) {
    case "answered":
      return { kind: "done" };
    case "unsent":
      return retryUnexecuted(policy, progress, end.reason);
    case "unexecuted":
      return retryUnexecuted(policy, progress, `declined with ${end.status}`);
    case "lost":
      return end.isSuspect === true
        ? abandonRequest(progress, end.reason)
        : retryLostAttempt(policy, progress, end.reason);
    default:
      return assertNever(end);
  }
}

function retryUnexecuted(
  policy: RetryPolicy,
  progress: RequestProgress,
  reason: string,
): NextStep {
  const maxUpstreamsTried =
    policy.maxAttempts + ATTEMPTS.EXTRA_DECLINED_ATTEMPTS;
  if (
    progress.upstreamsTried < maxUpstreamsTried &&
    progress.leftMs > ATTEMPTS.MIN_REMAINING_MS
  ) {
    return { kind: "retry" };
  }
  return abandonRequest(progress, reason);
}

function retryLostAttempt(
  policy: RetryPolicy,
  progress: RequestProgress,
  reason: string,
): NextStep {
  const isRetryable = progress.hasStarted
    ? policy.isResumable
    : policy.isIdempotent || policy.isResumable;
  const hasRunsLeft = progress.runs < policy.maxAttempts;
  if (
    isRetryable &&
    hasRunsLeft &&
    progress.leftMs > ATTEMPTS.MIN_REMAINING_MS
  ) {
    return { kind: "retry" };
  }
  return abandonRequest(progress, reason);
}

function abandonRequest(progress: RequestProgress, reason: string): NextStep {
  if (progress.hasStarted) {
    return { kind: "break-off", reason };
  }
  return progress.runs > 0
    ? { kind: "fail", reason }
    : { kind: "refuse", reason };
}
