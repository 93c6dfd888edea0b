import type { LikeRequest } from "./types.ts";

/** Groups of load below that of a full upstream. */
const LOAD_GROUPS = 4;

/**
 * Builds the key under which requests count as alike: those of a service with
 * about the same tokens at about the same load.
 */
export function buildLikeKey({
  measure,
  service,
  tokens,
  load,
}: LikeRequest): string {
  const loadGroup = Math.min(LOAD_GROUPS, Math.floor(load * LOAD_GROUPS));
  const prompt = groupTokens(tokens?.prompt);
  const output = groupTokens(tokens?.output);
  return `${service}/${measure}/${loadGroup}/${prompt}/${output}`;
}

/** Groups token counts by powers of two. */
function groupTokens(count: number | undefined): number {
  return count === undefined ? -1 : Math.round(Math.log2(1 + count));
}
