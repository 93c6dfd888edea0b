import { STORE_PATHS } from "./constants.ts";
import type { DirectPath } from "./types.ts";

/** Records whether the store answered a call that was sent to it directly. */
export function recordDirectCall(
  path: DirectPath,
  isAnswered: boolean,
  nowMs: number,
): DirectPath {
  if (isAnswered) {
    return STORE_PATHS.SOUND;
  }
  return path.kind === "suspect"
    ? path
    : {
        kind: "suspect",
        probes: 0,
        probeAtMs: nowMs + STORE_PATHS.MIN_PROBE_DELAY_MS,
      };
}
