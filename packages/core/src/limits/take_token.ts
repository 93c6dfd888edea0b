import { checkInvariant } from "../invariants/check_invariant.ts";
import { hasToken } from "./has_token.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import type { Limit } from "./types.ts";

/** Takes one token from a refilled limit, which must hold at least one. */
export function takeToken(limit: Limit): Limit {
  const { bucket, burst, share } = limit;
  const cap = share.burst * burst;
  checkInvariant(
    "within-rate-and-burst",
    hasToken(limit) && bucket.tokens <= cap + LIMIT_TIMES.EPSILON,
    () => `takes one of ${bucket.tokens}, share ${cap}`,
  );
  const tokens = Math.max(0, bucket.tokens - 1);
  return { ...limit, bucket: { ...bucket, tokens } };
}
