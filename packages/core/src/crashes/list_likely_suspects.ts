import type { Crash, CrashSuspect } from "./types.ts";

/**
 * Lists the suspects that most likely crashed the upstream: those whose answer
 * had a head but no event, or all if there are none of these.
 */
export function listLikelySuspects(crash: Crash): readonly CrashSuspect[] {
  const begun = crash.suspects.filter(({ hasHead }) => hasHead);
  return begun.length > 0 ? begun : crash.suspects;
}
