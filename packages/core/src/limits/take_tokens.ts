import { refillBucket } from "./refill_bucket.ts";
import type { Bucket } from "./types.ts";

/** Result of taking tokens: the new bucket and whether it held enough. */
export type TakeTokensResult = {
  readonly bucket: Bucket;
  readonly isTaken: boolean;
};

/** Takes `count` tokens if the bucket holds that many, and none otherwise. */
export function takeTokens(
  bucket: Bucket,
  count: number,
  nowMs: number,
): TakeTokensResult {
  const refilled = refillBucket(bucket, nowMs);
  return refilled.tokens >= count
    ? {
        bucket: { ...refilled, tokens: refilled.tokens - count },
        isTaken: true,
      }
    : { bucket: refilled, isTaken: false };
}
