import { assertNever } from "../shared/assert_never.ts";
import { ATTEMPTS } from "./constants.ts";
import type {
  AttemptEnd,
  NextStep,
  RepeatPolicy,
  RequestProgress,
} from "./types.ts";

/**
 * Decides what follows the end of an attempt. A request that may have run is
 * repeated only where the route allows it, and a stream that has begun only
 * where it can be resumed.
 */
export function decideNextStep(
  policy: RepeatPolicy,
  progress: RequestProgress,
  end: AttemptEnd,
): NextStep {
  switch (end.kind) {
    case "answered":
      return { kind: "done" };
    case "unsent":
      return retryUnrun(policy, progress, end.reason);
    case "unexecuted":
      return retryUnrun(policy, progress, `declined with ${end.status}`);
    case "lost":
      return retryLost(policy, progress, end.reason);
    default:
      return assertNever(end);
  }
}

function retryUnrun(
  policy: RepeatPolicy,
  progress: RequestProgress,
  reason: string,
): NextStep {
  const maxOffers = policy.maxAttempts + ATTEMPTS.EXTRA_OFFERS;
  if (progress.offers < maxOffers && progress.leftMs > ATTEMPTS.MIN_LEFT_MS) {
    return { kind: "retry" };
  }
  return abandonRequest(progress, reason);
}

function retryLost(
  policy: RepeatPolicy,
  progress: RequestProgress,
  reason: string,
): NextStep {
  const isRepeatable = progress.hasBegun
    ? policy.isResumable
    : policy.isIdempotent || policy.isResumable;
  const isAllowed = progress.runs < policy.maxAttempts;
  if (isRepeatable && isAllowed && progress.leftMs > ATTEMPTS.MIN_LEFT_MS) {
    return { kind: "retry" };
  }
  return abandonRequest(progress, reason);
}

function abandonRequest(progress: RequestProgress, reason: string): NextStep {
  if (progress.hasBegun) {
    return { kind: "break-off", reason };
  }
  return progress.runs > 0
    ? { kind: "fail", reason }
    : { kind: "refuse", reason };
}
