import type { Bucket } from "../limits/types.ts";
import type { RampLimit } from "./types.ts";

/** Creates a sender's bucket: an equal share of the rate, a burst of one. */
export function createRampBucket(
  { perSecond }: RampLimit,
  senderCount: number,
  nowMs: number,
): Bucket {
  const ratePerSecond = perSecond / Math.max(1, senderCount);
  return { tokens: 1, cap: 1, ratePerSecond, atMs: nowMs };
}
