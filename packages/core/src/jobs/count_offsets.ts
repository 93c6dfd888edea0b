import type { Ranges } from "./types.ts";

/** Counts the offsets of sorted runs. */
export function countOffsets(ranges: Ranges): number {
  return ranges.reduce((sum, [from, to]) => sum + to - from + 1, 0);
}
