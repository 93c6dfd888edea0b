import { createPaths } from "./create_paths.ts";
import { isCutOff } from "./is_cut_off.ts";
import type { UpstreamReach } from "./types.ts";

/**
 * Records that an attempt to connect succeeded while the instance was cut off. That
 * ends the state, but not yet for certain: nothing has been answered.
 */
export function recordOpened(reach: UpstreamReach): UpstreamReach {
  const paths = createPaths();
  return isCutOff(reach)
    ? { answers: paths, connections: paths, isProven: false }
    : reach;
}
