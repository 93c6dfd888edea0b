import {
  type CustomerUse,
  createQuota,
  DUTIES,
  type LoadMessage,
  QUOTAS,
  type Quota,
  type QuotaTaken,
  type RouteCustomer,
  recordPeerUsage,
  refillQuota,
  takeQuota,
} from "@gooseberryline/core";
import type { LoadTracker } from "./load_tracker.ts";
import type { MemberRegistry } from "./member_registry.ts";

type QuotaTrackerParts = {
  readonly instanceId: string;
  readonly members: MemberRegistry;
  readonly load: LoadTracker;
  readonly startedMs: number;
  /** Tokens of a bucket at the start of this process. */
  readonly initialTokens: number;
};

/** Customers' rates over the whole fleet, as this instance may spend them. */
export class QuotaTracker {
  readonly #parts: QuotaTrackerParts;
  readonly #quotas = new Map<string, Quota>();

  constructor(parts: QuotaTrackerParts) {
    this.#parts = parts;
  }

  take(customer: RouteCustomer, nowMs: number): QuotaTaken {
    const taken = takeQuota(
      this.#find(customer.name),
      customer,
      this.#computeReachableShare(nowMs),
      nowMs,
    );
    this.#quotas.set(customer.name, taken.quota);
    return taken;
  }

  recordPeerMessage(message: LoadMessage, heardMs: number): void {
    const { from, incarnation, ageMs } = message;
    Object.entries(message.use).forEach(([name, { admitted, tokens }]) => {
      const usage = { incarnation, admitted, heardMs };
      const quota = this.#find(name);
      this.#quotas.set(
        name,
        recordPeerUsage(quota, from, usage, { tokens, ageMs }),
      );
    });
  }

  /** What peers are told of the customers that have limits. */
  listUsage(
    customers: readonly RouteCustomer[],
    nowMs: number,
  ): Readonly<Record<string, CustomerUse>> {
    const share = this.#computeReachableShare(nowMs);
    const entries = customers
      .filter(({ ratePerSecond }) => ratePerSecond > 0)
      .map((customer) => {
        const found = this.#find(customer.name);
        const quota = refillQuota(found, customer, share, nowMs);
        this.#quotas.set(customer.name, quota);
        const { admitted, tokens } = quota;
        return [customer.name, { admitted, tokens: toTenths(tokens) }] as const;
      });
    return Object.fromEntries(entries);
  }

  #find(name: string): Quota {
    const { startedMs, initialTokens: firstTokens } = this.#parts;
    return this.#quotas.get(name) ?? createQuota(startedMs, firstTokens);
  }

  /** Part of the spenders that was heard lately, this instance included. */
  #computeReachableShare(nowMs: number): number {
    const { members, load, instanceId } = this.#parts;
    const others = members
      .listSpenders(DUTIES.serve, nowMs)
      .filter((id) => id !== instanceId);
    const heard = others.filter((id) =>
      load.hasRecentMessage(id, QUOTAS.SILENT_MS, nowMs),
    );
    return (heard.length + 1) / (others.length + 1);
  }
}

function toTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
