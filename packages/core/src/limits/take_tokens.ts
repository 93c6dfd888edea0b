import { refillBucket } from "./refill_bucket.ts";
import type { Bucket } from "./types.ts";

/** The bucket after the attempt to take, and whether it held enough. */
export type Taken = { readonly bucket: Bucket; readonly isTaken: boolean };

/** Takes `count` tokens where the bucket holds that many, else none. */
export function takeTokens(
  bucket: Bucket,
  count: number,
  nowMs: number,
): Taken {
  const filled = refillBucket(bucket, nowMs);
  return filled.tokens >= count
    ? { bucket: { ...filled, tokens: filled.tokens - count }, isTaken: true }
    : { bucket: filled, isTaken: false };
}
