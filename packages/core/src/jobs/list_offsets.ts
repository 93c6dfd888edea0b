import type { Ranges } from "./types.ts";

/** Lists every offset in sorted ranges. */
export function listOffsets(ranges: Ranges): readonly number[] {
  return ranges.flatMap(([from, to]) =>
    Array.from({ length: to - from + 1 }, (_, index) => from + index),
  );
}
