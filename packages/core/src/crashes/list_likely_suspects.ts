import type { Crash, CrashSuspect } from "./types.ts";

/**
 * Lists the suspects that most likely crashed the upstream: of those that had not
 * begun, those whose answer had a head but no event, or all if there are none of
 * these.
 */
export function listLikelySuspects(crash: Crash): readonly CrashSuspect[] {
  const waiting = crash.suspects.filter(({ hasBegun }) => !hasBegun);
  const withHead = waiting.filter(({ hasHead }) => hasHead);
  return withHead.length > 0 ? withHead : waiting;
}
