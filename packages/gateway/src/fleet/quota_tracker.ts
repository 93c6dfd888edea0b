import {
  type CustomerUsage,
  createQuota,
  DUTIES,
  type LoadMessage,
  type PeerUsage,
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
  /** Returns the age at which what a peer reported is out of date, in ms. */
  readonly getAgeLimitMs: () => number;
  readonly startedMs: number;
  /** Number of tokens in each bucket when the process starts. */
  readonly initialTokens: number;
};

/** What a peer last reported, by customer. */
type PeerState = {
  readonly usage: Map<string, PeerUsage>;
  readonly receivedMs: number;
};

/**
 * Tracks each customer's fleet-wide rate limit and this instance's share of it.
 */
export class QuotaTracker {
  readonly #parts: QuotaTrackerParts;
  readonly #quotas = new Map<string, Quota>();
  readonly #peers = new Map<string, PeerState>();
  /** When a request of a customer was last admitted, by its name. */
  readonly #lastAdmittedMs = new Map<string, number>();

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
    if (taken.kind === "taken" && customer.ratePerSecond > 0) {
      this.#lastAdmittedMs.set(customer.name, nowMs);
    }
    return taken;
  }

  recordPeerMessage(message: LoadMessage, receivedMs: number): void {
    const { from, incarnation, ageMs } = message;
    const peer = this.#peers.get(from) ?? { usage: new Map(), receivedMs };
    const wasSilent = receivedMs - peer.receivedMs > this.#getTimeoutMs();
    Object.entries(message.use).forEach(([name, { admitted, tokens }]) => {
      const usage = { incarnation, admitted };
      const previous = peer.usage.get(name);
      const about = { usage, previous, tokens, ageMs, wasSilent, receivedMs };
      this.#quotas.set(name, recordPeerUsage(this.#find(name), about));
      peer.usage.set(name, usage);
    });
    this.#peers.set(from, { ...peer, receivedMs });
  }

  /**
   * Lists the usage reported to peers, for the customers of whom requests were
   * admitted lately.
   */
  listUsage(
    customers: ReadonlyMap<string, RouteCustomer>,
    nowMs: number,
  ): Readonly<Record<string, CustomerUsage>> {
    const share = this.#computeReachableShare(nowMs);
    [...this.#lastAdmittedMs]
      .filter(([, atMs]) => nowMs - atMs > QUOTAS.REPORT_MS)
      .forEach(([name]) => {
        this.#lastAdmittedMs.delete(name);
      });
    const entries = [...this.#lastAdmittedMs.keys()]
      .flatMap((name) => customers.get(name) ?? [])
      .map((customer) => {
        const known = this.#find(customer.name);
        const quota = refillQuota(known, customer, share, nowMs);
        this.#quotas.set(customer.name, quota);
        const { admitted, tokens } = quota;
        return [customer.name, { admitted, tokens: toTenths(tokens) }] as const;
      });
    return Object.fromEntries(entries);
  }

  /** Returns the time after which a silent peer uses its static share, in ms. */
  #getTimeoutMs(): number {
    return Math.max(QUOTAS.PEER_TIMEOUT_MS, this.#parts.getAgeLimitMs());
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
    const timeoutMs = this.#getTimeoutMs();
    const others = members
      .listSpenders(DUTIES.serve, nowMs)
      .filter((id) => id !== instanceId);
    const reachable = others.filter((id) =>
      load.hasRecentMessage(id, timeoutMs, nowMs),
    );
    return (reachable.length + 1) / (others.length + 1);
  }
}

function toTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
