import type { Bucket } from "../limits/types.ts";
import type { RampLimit } from "./types.ts";

/** Creates a holder's bucket: its part of the rate, one request at once. */
export function createRamp(
  { perSecond }: RampLimit,
  holderCount: number,
  nowMs: number,
): Bucket {
  const ratePerSecond = perSecond / Math.max(1, holderCount);
  return { tokens: 1, cap: 1, ratePerSecond, atMs: nowMs };
}
