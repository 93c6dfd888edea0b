import {
  type CustomerUsage,
  type Demand,
  type LoadMessage,
  type PeerUsage,
  QUOTAS,
  type Quota,
  type QuotaLimit,
  recordDemand,
  recordPeerUsage,
  refillQuota,
  shouldTellEarly,
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
  /** Returns the time between two reports of a peer, in ms. */
  readonly getLagMs: () => number;
  /** Creates the bucket of a quota that was not known. */
  readonly createQuota: (nowMs: number) => Quota;
};

/** What a peer last reported, by quota. */
type PeerState = {
  readonly usage: Map<string, PeerUsage>;
  /** Requests that come to it a second. */
  readonly askedPerSecond: Map<string, number>;
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
  /** Requests that come here, by quota. */
  readonly #demands = new Map<string, Demand>();
  /** When a request last came, by quota. */
  readonly #lastAskedMs = new Map<string, number>();

  /** The limits in force, as of the last request, by quota. */
  readonly #limits = new Map<string, QuotaLimit>();
  /** What peers were told to be admitted here, by quota. */
  readonly #told = new Map<string, number>();
  readonly #toldEarlyMs = new Map<string, number>();
  /** Called for what peers have to learn before the next interval. */
  onUrgentNews: () => void = () => undefined;

  constructor(parts: QuotaTrackerParts) {
    this.#parts = parts;
  }

  take(name: string, limit: QuotaLimit, nowMs: number): TakeQuotaResult {
    if (limit.ratePerSecond > 0) {
      this.#lastAskedMs.set(name, nowMs);
      this.#limits.set(name, limit);
      this.#demands.set(name, this.#computeDemand(name, nowMs, 1));
    }
    const taken = this.#compute(name, limit, nowMs);
    this.#quotas.set(name, taken.quota);
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
    this.#demands.delete(name);
    this.#limits.delete(name);
    this.#told.delete(name);
    this.#toldEarlyMs.delete(name);
    this.#lastAskedMs.delete(name);
  }

  #compute(name: string, limit: QuotaLimit, nowMs: number): TakeQuotaResult {
    const share = this.#computeReachableShare(name, nowMs);
    const perSecond = this.#sumOthersDemand(name, nowMs);
    const lagMs = this.#parts.getLagMs();
    const others = { perSecond, lagMs, drawn: Math.random() };
    return takeQuota(this.#find(name, nowMs), limit, share, nowMs, others);
  }

  #computeDemand(name: string, nowMs: number, count: number): Demand {
    const known = this.#demands.get(name) ?? { perSecond: 0, atMs: nowMs };
    return recordDemand(known, nowMs, count);
  }

  /** Adds what comes to the peers that were heard of lately. */
  #sumOthersDemand(name: string, nowMs: number): number {
    const timeoutMs = this.#parts.getTimeoutMs();
    return [...this.#peers.values()]
      .filter(({ receivedMs }) => nowMs - receivedMs <= timeoutMs)
      .map(({ askedPerSecond }) => askedPerSecond.get(name) ?? 0)
      .reduce((sum, perSecond) => sum + perSecond, 0);
  }

  /** Records what a peer's message says of its usage, by quota. */
  recordPeerUsage(
    { from, incarnation, ageMs }: LoadMessage,
    use: Readonly<Record<string, CustomerUsage>>,
    receivedMs: number,
  ): void {
    const peer = this.#peers.get(from) ?? { usage: new Map(), receivedMs };
    const askedPerSecond = new Map<string, number>();
    const timeoutMs = this.#parts.getTimeoutMs();
    const wasSilent = receivedMs - peer.receivedMs > timeoutMs;
    Object.entries(use).forEach(([name, said]) => {
      const { admitted, tokens } = said;
      askedPerSecond.set(name, said.askedPerSecond ?? 0);
      const usage = { incarnation, admitted };
      const previous = peer.usage.get(name);
      const about = { usage, previous, tokens, ageMs, wasSilent, receivedMs };
      const quota = this.#find(name, receivedMs);
      this.#quotas.set(name, recordPeerUsage(quota, about));
      peer.usage.set(name, usage);
      this.#reportEarly(name, receivedMs);
    });
    this.#peers.set(from, { ...peer, askedPerSecond, receivedMs });
  }

  /** Tells peers before the next interval, once in an interval. */
  #reportEarly(name: string, nowMs: number): void {
    const limit = this.#limits.get(name);
    const lagMs = this.#parts.getLagMs();
    const lastMs = this.#toldEarlyMs.get(name) ?? Number.NEGATIVE_INFINITY;
    if (limit === undefined || nowMs - lastMs < lagMs) {
      return;
    }
    const quota = this.#find(name, nowMs);
    const untold = quota.admitted - (this.#told.get(name) ?? 0);
    if (shouldTellEarly(quota, limit, untold)) {
      this.#toldEarlyMs.set(name, nowMs);
      this.onUrgentNews();
    }
  }

  /**
   * Lists the usage reported to peers, for the quotas for which requests came
   * lately and whose limit is known.
   */
  listUsage(
    getLimit: (name: string) => QuotaLimit | undefined,
    nowMs: number,
  ): Readonly<Record<string, CustomerUsage>> {
    [...this.#lastAskedMs]
      .filter(([, atMs]) => nowMs - atMs > QUOTAS.REPORT_MS)
      .forEach(([name]) => {
        this.#lastAskedMs.delete(name);
      });
    const entries = [...this.#lastAskedMs.keys()].flatMap((name) => {
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
    this.#told.set(name, admitted);
    const { perSecond } = this.#computeDemand(name, nowMs, 0);
    const askedPerSecond = toTenths(perSecond);
    return { admitted, tokens: toTenths(tokens), askedPerSecond };
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
