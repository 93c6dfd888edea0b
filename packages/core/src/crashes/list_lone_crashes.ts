import { CRASHES } from "./constants.ts";
import type { Crash } from "./types.ts";

/** Lists the crashes beside which no other upstream may have crashed. */
export function listLoneCrashes(
  crashes: readonly Crash[],
  possible: readonly Crash[],
): readonly Crash[] {
  return crashes.filter(
    ({ upstreamId, atMs }) =>
      !possible.some(
        (other) =>
          other.upstreamId !== upstreamId &&
          Math.abs(other.atMs - atMs) <= CRASHES.SAME_EVENT_MS,
      ),
  );
}
