import type { UpstreamEntry } from "../placing/types.ts";

/** Returns whether a listed process has taken the place of an earlier one. */
export function isSuccessor(
  entry: UpstreamEntry,
  earlier: UpstreamEntry,
): boolean {
  return entry.id === earlier.id
    ? entry.bornMs !== earlier.bornMs
    : entry.address === earlier.address;
}
