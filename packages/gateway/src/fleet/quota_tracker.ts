import {
  type CustomerUsage,
  type LoadMessage,
  type PeerUsage,
  QUOTAS,
  type Quota,
  type QuotaLimit,
  recordPeerUsage,
  refillQuota,
  type TakeQuotaResult,
  takeQuota,
} from "@gooseberryline/core";
import type { LoadTracker } from "./load_tracker.ts";

type QuotaTrackerParts = {
  readonly instanceId: string;
  readonly load: LoadTracker;
  /** Lists the instances that share a quota, by its name. */
  readonly listSpenders: (name: string, nowMs: number) => readonly string[];
  /** Returns the time after which a silent peer uses its static share, in ms. */
  readonly getTimeoutMs: () => number;
  /** Creates the bucket of a quota that was not known. */
  readonly createQuota: (nowMs: number) => Quota;
};

/** What a peer last reported, by quota. */
type PeerState = {
  readonly usage: Map<string, PeerUsage>;
  readonly receivedMs: number;
};

/**
 * Tracks fleet-wide rate limits, such as those of customers, and this instance's
 * share of them.
 */
export class QuotaTracker {
  readonly #parts: QuotaTrackerParts;
  readonly #quotas = new Map<string, Quota>();
  readonly #peers = new Map<string, PeerState>();
  /** When a request was last admitted, by quota. */
  readonly #lastAdmittedMs = new Map<string, number>();

  constructor(parts: QuotaTrackerParts) {
    this.#parts = parts;
  }

  take(name: string, limit: QuotaLimit, nowMs: number): TakeQuotaResult {
    const taken = this.#compute(name, limit, nowMs);
    this.#quotas.set(name, taken.quota);
    if (taken.kind === "taken" && limit.ratePerSecond > 0) {
      this.#lastAdmittedMs.set(name, nowMs);
    }
    return taken;
  }

  /** Returns whether a token is free beside those to leave, and takes none. */
  canTake(name: string, limit: QuotaLimit, nowMs: number, leave = 0): boolean {
    const taken = this.#compute(name, limit, nowMs);
    return taken.kind === "taken" && taken.quota.tokens >= leave;
  }

  /** Forgets a quota that is no longer in force. */
  drop(name: string): void {
    this.#quotas.delete(name);
    this.#lastAdmittedMs.delete(name);
  }

  #compute(name: string, limit: QuotaLimit, nowMs: number): TakeQuotaResult {
    const share = this.#computeReachableShare(name, nowMs);
    return takeQuota(this.#find(name, nowMs), limit, share, nowMs);
  }

  /** Records what a peer's message says of its usage, by quota. */
  recordPeerUsage(
    { from, incarnation, ageMs }: LoadMessage,
    use: Readonly<Record<string, CustomerUsage>>,
    receivedMs: number,
  ): void {
    const peer = this.#peers.get(from) ?? { usage: new Map(), receivedMs };
    const timeoutMs = this.#parts.getTimeoutMs();
    const wasSilent = receivedMs - peer.receivedMs > timeoutMs;
    Object.entries(use).forEach(([name, { admitted, tokens }]) => {
      const usage = { incarnation, admitted };
      const previous = peer.usage.get(name);
      const about = { usage, previous, tokens, ageMs, wasSilent, receivedMs };
      const quota = this.#find(name, receivedMs);
      this.#quotas.set(name, recordPeerUsage(quota, about));
      peer.usage.set(name, usage);
    });
    this.#peers.set(from, { ...peer, receivedMs });
  }

  /**
   * Lists the usage reported to peers, for the quotas from which requests were
   * admitted lately and whose limit is known.
   */
  listUsage(
    getLimit: (name: string) => QuotaLimit | undefined,
    nowMs: number,
  ): Readonly<Record<string, CustomerUsage>> {
    [...this.#lastAdmittedMs]
      .filter(([, atMs]) => nowMs - atMs > QUOTAS.REPORT_MS)
      .forEach(([name]) => {
        this.#lastAdmittedMs.delete(name);
      });
    const entries = [...this.#lastAdmittedMs.keys()].flatMap((name) => {
      const limit = getLimit(name);
      return limit === undefined
        ? []
        : [[name, this.#describe(name, limit, nowMs)] as const];
    });
    return Object.fromEntries(entries);
  }

  #describe(name: string, limit: QuotaLimit, nowMs: number): CustomerUsage {
    const share = this.#computeReachableShare(name, nowMs);
    const quota = refillQuota(this.#find(name, nowMs), limit, share, nowMs);
    this.#quotas.set(name, quota);
    const { admitted, tokens } = quota;
    return { admitted, tokens: toTenths(tokens) };
  }

  #find(name: string, nowMs: number): Quota {
    const known = this.#quotas.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = this.#parts.createQuota(nowMs);
    this.#quotas.set(name, created);
    return created;
  }

  /**
   * Returns what fraction of the instances that share a quota is reachable, by
   * recent messages; this instance counts as reachable.
   */
  #computeReachableShare(name: string, nowMs: number): number {
    const { listSpenders, load, instanceId, getTimeoutMs } = this.#parts;
    const others = listSpenders(name, nowMs).filter((id) => id !== instanceId);
    const timeoutMs = getTimeoutMs();
    const reachable = others.filter((id) =>
      load.hasRecentMessage(id, timeoutMs, nowMs),
    );
    return (reachable.length + 1) / (others.length + 1);
  }
}

function toTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
