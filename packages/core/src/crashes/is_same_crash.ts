import { CRASHES } from "./constants.ts";
import type { Crash } from "./types.ts";

/** Returns whether two reports are of one crash of an upstream. */
export function isSameCrash(a: Crash, b: Crash): boolean {
  return (
    a.upstreamId === b.upstreamId &&
    Math.abs(a.atMs - b.atMs) < CRASHES.SAME_CRASH_MS
  );
}
