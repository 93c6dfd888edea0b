import type { Ranges } from "./types.ts";

/** Returns the number of offsets in sorted ranges. */
export function countOffsets(ranges: Ranges): number {
  return ranges.reduce((sum, [from, to]) => sum + to - from + 1, 0);
}
