import { CRASHES } from "./constants.ts";
import type { Crash, CrashVerdict } from "./types.ts";

/**
 * Decides whether an upstream crashed or only paths to it were cut. An instance
 * that reached the process afterwards decides; without one, two that found it
 * down after others could object, more of them at once, or its successor.
 */
export function decideCrashVerdict(crash: Crash, nowMs: number): CrashVerdict {
  const { atMs, downAt, reachedAt, isReplaced } = crash;
  if (reachedAt.length > 0) {
    return "reached";
  }
  const isCertain = isReplaced || downAt.length >= CRASHES.CERTAIN_WITNESSES;
  const isConfirmed =
    downAt.length >= CRASHES.CONFIRMING_WITNESSES &&
    nowMs - atMs >= CRASHES.SETTLE_MS;
  return isCertain || isConfirmed ? "crashed" : "unknown";
}
