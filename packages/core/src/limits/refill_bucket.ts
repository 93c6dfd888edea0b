import type { Bucket } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Adds the tokens accrued since `bucket.atMs`, up to the cap. */
export function refillBucket(bucket: Bucket, nowMs: number): Bucket {
  const elapsedMs = Math.max(0, nowMs - bucket.atMs);
  const accrued = (elapsedMs * bucket.ratePerSecond) / MS_PER_SECOND;
  const tokens = Math.min(bucket.cap, bucket.tokens + accrued);
  return { ...bucket, tokens, atMs: Math.max(bucket.atMs, nowMs) };
}
