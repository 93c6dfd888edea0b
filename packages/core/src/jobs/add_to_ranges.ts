import type { Ranges } from "./types.ts";

/** Adds one offset to sorted runs, joining runs that touch. */
export function addToRanges(ranges: Ranges, offset: number): Ranges {
  const at = ranges.findIndex(([, to]) => to >= offset - 1);
  const found = ranges[at];
  if (found === undefined) {
    return [...ranges, [offset, offset]];
  }
  const [from, to] = found;
  if (offset >= from && offset <= to) {
    return ranges;
  }
  if (offset < from - 1) {
    return [...ranges.slice(0, at), [offset, offset], ...ranges.slice(at)];
  }
  const next = ranges[at + 1];
  const isBridge = next !== undefined && next[0] === offset + 1;
  const joined: readonly [number, number] = isBridge
    ? [from, next[1]]
    : [Math.min(from, offset), Math.max(to, offset)];
  const rest = ranges.slice(at + (isBridge ? 2 : 1));
  return [...ranges.slice(0, at), joined, ...rest];
}
