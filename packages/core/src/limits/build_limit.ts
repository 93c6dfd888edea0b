import { refillLimit } from "./refill_limit.ts";
import type { Limit, Share } from "./types.ts";

/** A customer's rate and burst as the configuration states them. */
type Terms = { readonly rate: number; readonly burst: number };

/**
 * Builds a limit for a share, keeping what the one before holds as far as
 * the new cap allows. A larger share brings no tokens with it, unless it is
 * the first division ever (`isFresh`): then nobody can have spent any.
 */
export function buildLimit(
  before: Limit | undefined,
  { rate, burst }: Terms,
  {
    share,
    isFresh,
    nowMs,
  }: {
    readonly share: Share;
    readonly isFresh: boolean;
    readonly nowMs: number;
  },
): Limit {
  const held = before && refillLimit(before, nowMs);
  const lent = held?.lent ?? [];
  const lentTokens = lent.reduce((sum, { tokens }) => sum + tokens, 0);
  const cap = share.burst * burst - lentTokens;
  const canFill = isFresh && (held?.admitted ?? 0) === 0;
  const tokens = canFill ? cap : Math.min(cap, held?.bucket.tokens ?? 0);
  const ratePerSecond = share.rate * rate;
  return {
    rate,
    burst,
    share,
    bucket: { tokens, cap, ratePerSecond, atMs: nowMs },
    lent,
    levels: held?.levels ?? {},
    arrived: held?.arrived ?? 0,
    admitted: held?.admitted ?? 0,
  };
}
