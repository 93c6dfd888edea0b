import {
  addSpeedSample,
  buildLikeKey,
  chooseSpeedNews,
  computeSlowness,
  computeWeight,
  estimateSlownessLog,
  type LikeRequest,
  type LikeTime,
  SPEEDS,
  type SpeedEvidence,
  type SpeedNews,
  type SpeedRecord,
  type UpstreamEntry,
  updateBaseLog,
  updateLikeTime,
} from "@gooseberryline/core";
import { type Belief, BeliefBook } from "./belief_book.ts";
import { PeerIndex } from "./peer_index.ts";

/** Identifies an upstream's process; a new one has to show its speed anew. */
type ProcessEntry = Pick<UpstreamEntry, "id" | "bornMs" | "service">;

/** Age at which a belief is computed anew after peers' news of it, in ms. */
const NEWS_AGE_MS = 50;
/** The same without news, by which it fades, in ms. */
const MAX_BELIEF_AGE_MS = 500;
/** Groups of like requests that are kept. */
const MAX_LIKES = 2_000;
const PERCENT = 100;
const NO_BELIEF: Belief = {
  service: "",
  slowness: 1,
  baseLog: 0,
  log: 0,
  weight: 0,
  atMs: 0,
};

/**
 * Keeps how fast upstreams are, as this instance measures and peers tell. What
 * none has measured lately counts as usual after a while.
 */
export class SpeedTracker {
  readonly #own = new Map<string, SpeedRecord>();
  readonly #peers = new PeerIndex<SpeedEvidence>();
  readonly #beliefs = new BeliefBook();
  /** Processes of which peers have said something else since. */
  readonly #stale = new Set<string>();
  readonly #likes = new Map<string, LikeTime>();
  readonly #told = new Map<string, number>();
  /** Called when own samples show a speed that differs from the last one. */
  onChange: (upstreamId: string, slowness: number) => void = () => undefined;

  /** Records the time that a request took at an upstream, in ms. */
  recordTime(
    entry: UpstreamEntry,
    like: LikeRequest,
    tookMs: number,
    nowMs: number,
  ): void {
    const key = buildProcessKey(entry);
    const likeKey = buildLikeKey(like);
    const logMs = Math.log(Math.max(1, tookMs));
    const { log } = this.#getBelief(key, entry.service, nowMs);
    // Only differences can be measured: the beliefs' common level is left in.
    const apartLog = log - this.#beliefs.getMeanLog(entry.service);
    const usual = updateLikeTime(this.#likes.get(likeKey), logMs, apartLog);
    if (this.#likes.size >= MAX_LIKES) {
      this.#likes.clear();
    }
    this.#likes.set(likeKey, usual);
    if (usual.samples < SPEEDS.MIN_LIKE_SAMPLES) {
      return;
    }
    const sampleLog = logMs - usual.logMs;
    const known = this.#own.get(key);
    const deviation = Math.sqrt(usual.variance);
    this.#own.set(key, addSpeedSample(known, sampleLog, nowMs, deviation));
    this.#getBelief(key, entry.service, nowMs, 0);
    this.#reportChange(entry, key, nowMs);
  }

  /** Returns an upstream's time for a request relative to a usual one's. */
  getSlowness(entry: ProcessEntry, nowMs: number): number {
    const isNothingKnown = this.#own.size === 0 && this.#beliefs.size === 0;
    if (isNothingKnown && this.#peers.isEmpty) {
      return 1;
    }
    const key = buildProcessKey(entry);
    return this.#getBelief(key, entry.service, nowMs).slowness;
  }

  /** Counts the upstreams that differ noticeably from the others. */
  countUnusual(nowMs: number): {
    readonly slow: number;
    readonly fast: number;
  } {
    const known = this.#beliefs
      .listKeys()
      .map((key) => this.#renewBelief(key, nowMs).slowness);
    return {
      slow: known.filter((slowness) => slowness > 1).length,
      fast: known.filter((slowness) => slowness < 1).length,
    };
  }

  /** Records what a peer says in place of what it said before. */
  recordPeerNews(
    peerId: string,
    news: SpeedNews | undefined,
    receivedMs: number,
  ): void {
    const entries = Object.entries(news ?? {})
      .slice(0, SPEEDS.MAX_TOLD)
      .map(([key, [percent, weight]]) => {
        const logMean = Math.log(Math.max(1, percent) / PERCENT);
        const evidence = {
          logMean: Math.max(-SPEEDS.MAX_LOG, Math.min(SPEEDS.MAX_LOG, logMean)),
          weight: Math.max(0, Math.min(SPEEDS.MAX_WEIGHT, weight)),
          atMs: receivedMs,
        };
        return [key, evidence] as const;
      });
    this.#markStale(peerId);
    this.#peers.replace(peerId, entries);
    this.#markStale(peerId);
  }

  dropPeer(peerId: string): void {
    this.#markStale(peerId);
    this.#peers.drop(peerId);
  }

  /** Returns what to tell peers; undefined if there is nothing. */
  buildNews(nowMs: number): SpeedNews | undefined {
    this.#dropOld(nowMs);
    const own = [...this.#own].map(([upstream, evidence]) => ({
      upstream,
      evidence,
      believedLog: this.#renewBelief(upstream, nowMs).log,
    }));
    const chosen = chooseSpeedNews(own, nowMs);
    return chosen.length === 0
      ? undefined
      : Object.fromEntries(
          chosen.map(({ upstream, evidence }) => [
            upstream,
            [
              Math.round(Math.exp(evidence.logMean) * PERCENT),
              Number(computeWeight(evidence, nowMs).toFixed(1)),
            ],
          ]),
        );
  }

  /** Marks the beliefs that rest on what a peer says. */
  #markStale(peerId: string): void {
    this.#peers
      .listNamed(peerId)
      .filter((key) => this.#beliefs.get(key) !== undefined)
      .forEach((key) => {
        this.#stale.add(key);
      });
  }

  /** Returns what is believed; nothing is if nothing was before. */
  #renewBelief(key: string, nowMs: number): Belief {
    const service = this.#beliefs.get(key)?.service;
    return service === undefined
      ? NO_BELIEF
      : this.#getBelief(key, service, nowMs);
  }

  /** Returns what is believed, computed anew if it is `maxAgeMs` old. */
  #getBelief(
    key: string,
    service: string,
    nowMs: number,
    maxAgeMs = this.#stale.has(key) ? NEWS_AGE_MS : MAX_BELIEF_AGE_MS,
  ): Belief {
    const known = this.#beliefs.get(key) ?? NO_BELIEF;
    if (known !== NO_BELIEF && nowMs - known.atMs < maxAgeMs) {
      return known;
    }
    const own = this.#own.get(key);
    if (known === NO_BELIEF && own === undefined && !this.#peers.isNamed(key)) {
      return NO_BELIEF;
    }
    const peers = this.#peers.list(key).map(([, evidence]) => evidence);
    const evidence = own === undefined ? peers : [own, ...peers];
    const passedMs = known === NO_BELIEF ? 0 : nowMs - known.atMs;
    const estimate = estimateSlownessLog(evidence, known.baseLog, nowMs);
    const baseLog = updateBaseLog(known.baseLog, { ...estimate, passedMs });
    const slowness = computeSlowness(estimate.log);
    const belief = { ...estimate, service, slowness, baseLog, atMs: nowMs };
    this.#beliefs.set(key, belief);
    this.#stale.delete(key);
    return belief;
  }

  #reportChange({ id }: UpstreamEntry, key: string, nowMs: number): void {
    const slowness = this.#renewBelief(key, nowMs).slowness;
    const told = this.#told.get(key) ?? 1;
    const change = Math.abs(Math.log(slowness) - Math.log(told));
    const isBack = slowness === 1 && told !== 1;
    if (isBack || change >= SPEEDS.TOLD_LOG) {
      this.#told.set(key, slowness);
      this.onChange(id, slowness);
    }
  }

  #dropOld(nowMs: number): void {
    [...this.#own]
      .filter(([, one]) => computeWeight(one, nowMs) < SPEEDS.MIN_WEIGHT)
      .forEach(([key]) => {
        this.#own.delete(key);
      });
    this.#beliefs
      .listKeys()
      .filter((key) => !this.#own.has(key))
      .filter((key) => {
        const { log, weight } = this.#renewBelief(key, nowMs);
        const isUsual = Math.abs(log) < SPEEDS.FORGOTTEN_LOG;
        return isUsual && weight < SPEEDS.MIN_WEIGHT;
      })
      .forEach((key) => {
        this.#beliefs.delete(key);
        this.#stale.delete(key);
        this.#told.delete(key);
      });
  }
}

function buildProcessKey({ id, bornMs }: ProcessEntry): string {
  return `${id}/${bornMs ?? ""}`;
}
