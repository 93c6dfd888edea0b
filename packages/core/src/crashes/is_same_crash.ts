import { CRASHES } from "./constants.ts";
import type { Crash } from "./types.ts";

/**
 * Returns whether two reports are of one crash of an upstream: at about the same
 * time, and nobody reached the process in between.
 */
export function isSameCrash(a: Crash, b: Crash): boolean {
  return (
    a.upstreamId === b.upstreamId &&
    Math.abs(a.atMs - b.atMs) < CRASHES.SAME_CRASH_MS &&
    !isAfterReach(a, b) &&
    !isAfterReach(b, a)
  );
}

function isAfterReach(later: Crash, earlier: Crash): boolean {
  return earlier.reachedMs !== undefined && later.atMs > earlier.reachedMs;
}
