import type { DirectPath, StoreCallFacts, StorePathChoice } from "./types.ts";

/**
 * Chooses the way of a call. While the direct path is suspect all calls go by way
 * of a peer: a watch that hangs can't be told from one without changes, so only a
 * call that is answered at once shows that the path is sound again.
 */
export function chooseStorePath(
  path: DirectPath,
  { isProbeable, hasPeer }: StoreCallFacts,
  nowMs: number,
): StorePathChoice {
  return path.kind === "sound" || !hasPeer
    ? { kind: "direct" }
    : { kind: "peer", isProbe: isProbeable && nowMs >= path.probeAtMs };
}
