import {
  type CustomerUsage,
  createQuota,
  DUTIES,
  type LoadMessage,
  QUOTAS,
  type Quota,
  type RouteCustomer,
  recordPeerUsage,
  refillQuota,
  type TakeQuotaResult,
  takeQuota,
} from "@gooseberryline/core";
import type { LoadTracker } from "./load_tracker.ts";
import type { MemberRegistry } from "./member_registry.ts";

type QuotaTrackerParts = {
  readonly instanceId: string;
  readonly members: MemberRegistry;
  readonly load: LoadTracker;
  readonly startedMs: number;
  /** Number of tokens in each bucket when the process starts. */
  readonly initialTokens: number;
};

/**
 * Tracks each customer's fleet-wide rate limit and this instance's share of it.
 */
export class QuotaTracker {
  readonly #parts: QuotaTrackerParts;
  readonly #quotas = new Map<string, Quota>();

  constructor(parts: QuotaTrackerParts) {
    this.#parts = parts;
  }

  take(customer: RouteCustomer, nowMs: number): TakeQuotaResult {
    const taken = takeQuota(
      this.#find(customer.name),
      customer,
      this.#computeReachableShare(nowMs),
      nowMs,
    );
    this.#quotas.set(customer.name, taken.quota);
    return taken;
  }

  recordPeerMessage(message: LoadMessage, receivedMs: number): void {
    const { from, incarnation, ageMs } = message;
    Object.entries(message.use).forEach(([name, { admitted, tokens }]) => {
      const usage = { incarnation, admitted, lastSeenMs: receivedMs };
      const quota = this.#find(name);
      this.#quotas.set(
        name,
        recordPeerUsage(quota, from, usage, { tokens, ageMs }),
      );
    });
  }

  /** Lists the usage reported to peers, for the customers with a rate limit. */
  listUsage(
    customers: readonly RouteCustomer[],
    nowMs: number,
  ): Readonly<Record<string, CustomerUsage>> {
    const share = this.#computeReachableShare(nowMs);
    const entries = customers
      .filter(({ ratePerSecond }) => ratePerSecond > 0)
      .map((customer) => {
        const known = this.#find(customer.name);
        const quota = refillQuota(known, customer, share, nowMs);
        this.#quotas.set(customer.name, quota);
        const { admitted, tokens } = quota;
        return [customer.name, { admitted, tokens: toTenths(tokens) }] as const;
      });
    return Object.fromEntries(entries);
  }

  #find(name: string): Quota {
    const { startedMs, initialTokens } = this.#parts;
    return this.#quotas.get(name) ?? createQuota(startedMs, initialTokens);
  }

  /**
   * Returns what fraction of the instances that share the rate limits is
   * reachable, by recent messages; this instance counts as reachable.
   */
  #computeReachableShare(nowMs: number): number {
    const { members, load, instanceId } = this.#parts;
    const others = members
      .listSpenders(DUTIES.serve, nowMs)
      .filter((id) => id !== instanceId);
    const reachable = others.filter((id) =>
      load.hasRecentMessage(id, QUOTAS.PEER_TIMEOUT_MS, nowMs),
    );
    return (reachable.length + 1) / (others.length + 1);
  }
}

function toTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
