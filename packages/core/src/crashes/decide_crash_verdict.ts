import { CRASHES } from "./constants.ts";
import type { Crash, CrashVerdict } from "./types.ts";

/**
 * Decides whether an upstream crashed or only paths to it were cut. An instance
 * that reached the process afterwards decides; without one, two that found it
 * down, or its successor. `unknown` as long as others may object.
 */
export function decideCrashVerdict(crash: Crash, nowMs: number): CrashVerdict {
  const { atMs, downAt, reachedAt, isReplaced } = crash;
  if (reachedAt.length > 0) {
    return "reached";
  }
  const isConfirmed =
    isReplaced || downAt.length >= CRASHES.CONFIRMING_WITNESSES;
  return isConfirmed && nowMs - atMs >= CRASHES.SETTLE_MS
    ? "crashed"
    : "unknown";
}
