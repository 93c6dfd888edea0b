import { REACH } from "./constants.ts";
import type {
  PathFailures,
  UnansweredAttempt,
  UpstreamReach,
} from "./types.ts";

/**
 * Records an attempt that was refused, reset or silent. The instance is cut off
 * once several upstreams have failed in a short time and nothing went well; at once
 * if nothing was answered since it was last cut off.
 */
export function recordUnanswered(
  reach: UpstreamReach,
  attempt: UnansweredAttempt,
  nowMs: number,
): UpstreamReach {
  const { answers, connections, isProven } = reach;
  const failed = addFailure(answers, attempt, nowMs);
  return {
    isProven,
    answers: isProven ? failed : { ...failed, isLost: true },
    connections: attempt.isConnected
      ? connections
      : addFailure(connections, attempt, nowMs),
  };
}

function addFailure(
  paths: PathFailures,
  { upstreamId, upstreamCount }: UnansweredAttempt,
  nowMs: number,
): PathFailures {
  if (nowMs - paths.soundMs < REACH.QUIET_MS) {
    return paths;
  }
  const recent = [...paths.failures].filter(
    ([, failedMs]) => nowMs - failedMs < REACH.WINDOW_MS,
  );
  const failures = new Map([...recent, [upstreamId, nowMs]]);
  const needed = Math.max(
    REACH.MIN_UPSTREAMS_OF_FEW,
    Math.min(REACH.MIN_UPSTREAMS, upstreamCount),
  );
  return {
    ...paths,
    failures,
    isLost: paths.isLost || failures.size >= needed,
  };
}
