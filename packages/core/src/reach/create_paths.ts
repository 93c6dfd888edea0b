import type { PathFailures } from "./types.ts";

/** Creates the state of paths on which nothing fails; `soundMs` as in the type. */
export function createPaths(
  soundMs: number = Number.NEGATIVE_INFINITY,
): PathFailures {
  return { failures: new Map(), soundMs, isLost: false };
}
