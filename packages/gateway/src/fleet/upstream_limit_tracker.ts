import {
  buildLimitQuota,
  createQuota,
  DUTIES,
  type LimitNews,
  type LimitWord,
  type LoadMessage,
  listLimitSenders,
  mergeLimitWord,
  type QuotaLimit,
  UPSTREAM_LIMITS,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import type { Lane, LoadTracker } from "./load_tracker.ts";
import type { MemberRegistry } from "./member_registry.ts";
import { QuotaTracker } from "./quota_tracker.ts";

type UpstreamLimitTrackerParts = {
  readonly instanceId: string;
  readonly members: MemberRegistry;
  readonly load: LoadTracker;
  readonly readNowMs: () => number;
};

/** How a limit became known. */
type LimitSource = "answer" | "peer";

/**
 * Keeps the limits that upstreams name in their answers: the quota of a limit is
 * shared by a few instances, as those of customers are by all.
 */
export class UpstreamLimitTracker {
  readonly #parts: UpstreamLimitTrackerParts;
  readonly #words = new Map<string, LimitWord>();
  /** Words that this instance read itself, which it reports to peers. */
  readonly #ownWords = new Map<string, LimitWord>();
  readonly #quotas: QuotaTracker;
  /** Called when an upstream's limit is new, changed or lifted. */
  onChange: (
    upstreamId: string,
    perSecond: number | undefined,
    source: LimitSource,
  ) => void = () => undefined;
  /** Called for what peers have to learn before the next interval. */
  onUrgentNews: () => void = () => undefined;

  constructor(parts: UpstreamLimitTrackerParts) {
    this.#parts = parts;
    const { instanceId, load } = parts;
    this.#quotas = new QuotaTracker({
      instanceId,
      load,
      listSpenders: (upstreamId) => this.#listSenders(upstreamId),
      getTimeoutMs: () => UPSTREAM_LIMITS.PEER_TIMEOUT_MS,
      // Upstreams reject what is sent beyond their limit, and it is sent again.
      getLagMs: () => 0,
      createQuota: (nowMs) => createQuota(nowMs, 0),
    });
  }

  /**
   * Records the limit of an answer, or that it names none; `sentMs` is when its
   * request was sent.
   */
  recordAnswer(
    upstreamId: string,
    perSecond: number | undefined,
    sentMs: number,
  ): void {
    const known = this.#words.get(upstreamId);
    if (perSecond === undefined && known === undefined) {
      return;
    }
    const atMs = this.#parts.readNowMs();
    const word = { perSecond: toKeptLimit(perSecond), atMs };
    const merged = mergeLimitWord(known, word, sentMs);
    if (merged === word) {
      this.#setWord(this.#ownWords, upstreamId, word);
      this.#adopt(upstreamId, word, "answer");
    }
  }

  /** Returns whether an upstream names a limit. */
  isLimited(upstreamId: string): boolean {
    return this.#words.get(upstreamId)?.perSecond !== undefined;
  }

  /**
   * Returns whether a request may be sent now, without taking a token. Items
   * leave a part of the bucket for online requests.
   */
  canSend(upstreamId: string, lane: Lane, nowMs: number): boolean {
    const limit = this.#getLimit(upstreamId);
    if (limit === undefined) {
      return true;
    }
    const share = lane === "batch" ? UPSTREAM_LIMITS.ONLINE_SHARE : 0;
    return (
      this.#listSenders(upstreamId).includes(this.#parts.instanceId) &&
      this.#quotas.canTake(upstreamId, limit, nowMs, limit.burst * share)
    );
  }

  /** Takes a token for one request, if the upstream names a limit. */
  take(upstreamId: string, nowMs: number): void {
    const limit = this.#getLimit(upstreamId);
    if (limit === undefined) {
      return;
    }
    const { quota } = this.#quotas.take(upstreamId, limit, nowMs);
    // With few tokens left, two senders could take the same one.
    if (quota.tokens < this.#listSenders(upstreamId).length) {
      this.onUrgentNews();
    }
  }

  /** Returns what to tell peers; undefined if there is nothing. */
  buildNews(): Readonly<Record<string, LimitNews>> | undefined {
    const nowMs = this.#parts.readNowMs();
    const getLimit = (id: string) => this.#getLimit(id);
    const usage = new Map(
      Object.entries(this.#quotas.listUsage(getLimit, nowMs)),
    );
    const entries = [...this.#ownWords]
      .filter(([, { atMs }]) => nowMs - atMs < UPSTREAM_LIMITS.REPORT_MS)
      .map(([id, { perSecond = 0, atMs }]) => {
        const { admitted, tokens } = usage.get(id) ?? {
          admitted: 0,
          tokens: 0,
        };
        const ageMs = Math.round(nowMs - atMs);
        return [id, { perSecond, ageMs, admitted, tokens }] as const;
      });
    return entries.length === 0 ? undefined : Object.fromEntries(entries);
  }

  /** Records what a peer's message told that arrived at `nowMs`. */
  recordPeerNews(
    message: LoadMessage,
    news: Readonly<Record<string, LimitNews>>,
    nowMs = this.#parts.readNowMs(),
  ): void {
    Object.entries(news).forEach(([upstreamId, { perSecond, ageMs }]) => {
      const atMs = nowMs - ageMs;
      const limit = perSecond === 0 ? undefined : toKeptLimit(perSecond);
      const word = { perSecond: limit, atMs };
      const known = this.#words.get(upstreamId);
      if (mergeLimitWord(known, word, atMs) === word) {
        this.#adopt(upstreamId, word, "peer");
      }
    });
    const used = Object.entries(news).filter(
      ([id, { admitted }]) => admitted > 0 && this.#getLimit(id) !== undefined,
    );
    const use = Object.fromEntries(used);
    this.#quotas.recordPeerUsage(message, use, nowMs);
  }

  #adopt(upstreamId: string, word: LimitWord, source: LimitSource): void {
    const before = this.#words.get(upstreamId)?.perSecond;
    this.#setWord(this.#words, upstreamId, word);
    if (word.perSecond === before) {
      return;
    }
    if (word.perSecond === undefined) {
      this.#quotas.drop(upstreamId);
    }
    this.onChange(upstreamId, word.perSecond, source);
    if (source === "answer") {
      this.onUrgentNews();
    }
  }

  #setWord(
    words: Map<string, LimitWord>,
    upstreamId: string,
    word: LimitWord,
  ): void {
    addRecentEntry(words, upstreamId, word, UPSTREAM_LIMITS.MAX_UPSTREAMS);
  }

  #getLimit(upstreamId: string): QuotaLimit | undefined {
    const perSecond = this.#words.get(upstreamId)?.perSecond;
    return perSecond === undefined ? undefined : buildLimitQuota(perSecond);
  }

  #listSenders(upstreamId: string): readonly string[] {
    const { members } = this.#parts;
    const perSecond = this.#words.get(upstreamId)?.perSecond ?? 0;
    const listIds = (duty: keyof typeof DUTIES) =>
      members.list(duty).map(({ id }) => id);
    const spenders = {
      serving: listIds(DUTIES.serve),
      running: listIds(DUTIES.run),
    };
    return listLimitSenders(upstreamId, spenders, perSecond);
  }
}

/** Returns the limit that is kept for one that was named. */
function toKeptLimit(perSecond: number | undefined): number | undefined {
  return perSecond === undefined
    ? undefined
    : Math.max(UPSTREAM_LIMITS.MIN_PER_SECOND, perSecond);
}
