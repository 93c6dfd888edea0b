import { createPaths } from "./create_paths.ts";
import type { UpstreamReach } from "./types.ts";

/** Records that data of an upstream arrived. */
export function recordAnswer(
  reach: UpstreamReach,
  nowMs: number,
): UpstreamReach {
  return { ...reach, answers: createPaths(nowMs), isProven: true };
}
