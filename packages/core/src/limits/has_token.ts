import { LIMIT_TIMES } from "./limit_times.ts";
import type { Limit } from "./types.ts";

/** Returns whether a refilled limit holds at least one whole token. */
export function hasToken({ bucket }: Limit): boolean {
  return bucket.tokens + LIMIT_TIMES.EPSILON >= 1;
}
