import {
  type Bucket,
  type ServiceConfig,
  takeTokens,
} from "@gooseberryline/core";

const MS_PER_SECOND = 1000;
const DEFAULT_OPEN_RATE = 20;

/**
 * Limits routes open to all: each service has one bucket at each instance,
 * shared by everyone, and no customer's rate is touched.
 */
export class OpenRates {
  readonly #buckets = new Map<string, Bucket>();

  /** Takes a place; returns how long to wait for one, 0 when taken. */
  take(service: string, config: ServiceConfig, nowMs: number): number {
    const rate = config.openRate ?? DEFAULT_OPEN_RATE;
    const held = this.#buckets.get(service);
    const before =
      held?.ratePerSecond === rate
        ? held
        : { tokens: rate, cap: rate, ratePerSecond: rate, atMs: nowMs };
    const { bucket, isTaken } = takeTokens(before, 1, nowMs);
    this.#buckets.set(service, bucket);
    return isTaken
      ? 0
      : Math.ceil(((1 - bucket.tokens) / rate) * MS_PER_SECOND);
  }
}
