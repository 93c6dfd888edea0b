import type { Ranges } from "./types.ts";

/** Adds one offset to sorted ranges and merges ranges that become adjacent. */
export function addToRanges(ranges: Ranges, offset: number): Ranges {
  const index = ranges.findIndex(([, to]) => to >= offset - 1);
  const touching = ranges[index];
  if (touching === undefined) {
    return [...ranges, [offset, offset]];
  }
  const [from, to] = touching;
  if (offset >= from && offset <= to) {
    return ranges;
  }
  if (offset < from - 1) {
    return [
      ...ranges.slice(0, index),
      [offset, offset],
      ...ranges.slice(index),
    ];
  }
  const next = ranges[index + 1];
  const closesGap = next !== undefined && next[0] === offset + 1;
  const joined: readonly [number, number] = closesGap
    ? [from, next[1]]
    : [Math.min(from, offset), Math.max(to, offset)];
  const following = ranges.slice(index + (closesGap ? 2 : 1));
  return [...ranges.slice(0, index), joined, ...following];
}
