import { refillLimit } from "./refill_limit.ts";
import type { Limit, Share } from "./types.ts";

/** A customer's rate and burst from the configuration. */
type ConfiguredLimit = { readonly rate: number; readonly burst: number };

/**
 * Builds a limit for a share, keeping the tokens of the previous limit up to
 * the new cap. A larger share adds no tokens, except in the first division of
 * the limit (`isFirstDivision`), before which no instance can have spent any.
 */
export function buildLimit(
  before: Limit | undefined,
  { rate, burst }: ConfiguredLimit,
  {
    share,
    isFirstDivision,
    nowMs,
  }: {
    readonly share: Share;
    readonly isFirstDivision: boolean;
    readonly nowMs: number;
  },
): Limit {
  const refilled = before && refillLimit(before, nowMs);
  const loans = refilled?.loans ?? [];
  const lentTokens = loans.reduce((sum, { tokens }) => sum + tokens, 0);
  const cap = share.burst * burst - lentTokens;
  const canFill = isFirstDivision && (refilled?.admitted ?? 0) === 0;
  const tokens = canFill ? cap : Math.min(cap, refilled?.bucket.tokens ?? 0);
  const ratePerSecond = share.rate * rate;
  return {
    rate,
    burst,
    share,
    bucket: { tokens, cap, ratePerSecond, atMs: nowMs },
    loans,
    peerLevels: refilled?.peerLevels ?? {},
    arrived: refilled?.arrived ?? 0,
    admitted: refilled?.admitted ?? 0,
  };
}
