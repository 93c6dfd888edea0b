import {
  type Bucket,
  createRampBucket,
  listRampSenders,
  type RampLimit,
  takeTokens,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { MemberRegistry } from "./member_registry.ts";

type RampTrackerParts = {
  readonly instanceId: string;
  readonly members: MemberRegistry;
  readonly bounds: Omit<RampLimit, "perSecond">;
};

/**
 * Tracks this instance's share of the requests that cold upstreams may receive.
 */
export class RampTracker {
  readonly #parts: RampTrackerParts;
  readonly #buckets = new Map<string, Bucket>();

  constructor(parts: RampTrackerParts) {
    this.#parts = parts;
  }

  /**
   * Returns whether a request may be sent to the upstream now, without taking a
   * token.
   */
  canSend(entry: UpstreamEntry, perSecond: number, nowMs: number): boolean {
    if (entry.coldUntilMs <= nowMs) {
      this.#buckets.delete(entry.id);
      return true;
    }
    const bucket = this.#find(entry, perSecond, nowMs);
    return bucket !== undefined && takeTokens(bucket, 1, nowMs).isTaken;
  }

  /** Takes a token for one request, if the upstream is cold. */
  take(entry: UpstreamEntry, perSecond: number, nowMs: number): void {
    if (entry.coldUntilMs <= nowMs) {
      return;
    }
    const bucket = this.#find(entry, perSecond, nowMs);
    if (bucket !== undefined) {
      this.#buckets.set(entry.id, takeTokens(bucket, 1, nowMs).bucket);
    }
  }

  #find(
    { id }: UpstreamEntry,
    perSecond: number,
    nowMs: number,
  ): Bucket | undefined {
    const { instanceId, members, bounds } = this.#parts;
    const limit = { ...bounds, perSecond };
    const ids = members.list().map((member) => member.id);
    const holders = listRampSenders(id, ids, limit);
    if (!holders.includes(instanceId)) {
      return undefined;
    }
    const known = this.#buckets.get(id);
    return known ?? createRampBucket(limit, holders.length, nowMs);
  }
}
