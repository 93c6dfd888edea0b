import { createPaths } from "./create_paths.ts";
import type { UpstreamReach } from "./types.ts";

/** Records that a new connection to an upstream opened. */
export function recordConnected(
  reach: UpstreamReach,
  nowMs: number,
): UpstreamReach {
  return { ...reach, connections: createPaths(nowMs) };
}
