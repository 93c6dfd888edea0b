import {
  type Bucket,
  type ServiceConfig,
  takeTokens,
} from "@gooseberryline/core";

const MS_PER_SECOND = 1000;
const DEFAULT_OPEN_RATE = 20;

/**
 * Rate limiter for services that are open to all. Each instance has one token
 * bucket per service, shared by all callers; customers' rates are unaffected.
 */
export class OpenRateLimiter {
  readonly #buckets = new Map<string, Bucket>();

  /**
   * Takes a token; returns 0 on success, otherwise the time until one is
   * available, in milliseconds.
   */
  take(service: string, config: ServiceConfig, nowMs: number): number {
    const rate = config.openRate ?? DEFAULT_OPEN_RATE;
    const current = this.#buckets.get(service);
    const previous =
      current?.ratePerSecond === rate
        ? current
        : { tokens: rate, cap: rate, ratePerSecond: rate, atMs: nowMs };
    const { bucket, isTaken } = takeTokens(previous, 1, nowMs);
    this.#buckets.set(service, bucket);
    return isTaken
      ? 0
      : Math.ceil(((1 - bucket.tokens) / rate) * MS_PER_SECOND);
  }
}
