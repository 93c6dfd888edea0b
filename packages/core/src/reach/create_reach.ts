import { createPaths } from "./create_paths.ts";
import type { UpstreamReach } from "./types.ts";

/** Creates the state of an instance that has sent nothing yet. */
export function createReach(): UpstreamReach {
  const paths = createPaths();
  return { answers: paths, connections: paths, isProven: true };
}
