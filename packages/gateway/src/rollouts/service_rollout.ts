import {
  type AnswerCounts,
  type Candidate,
  canTakeRolloutTurn,
  chooseTrialUpstreams,
  computePeriod,
  computeStepShare,
  decideRolloutVerdict,
  getVersion,
  isLaterStep,
  isWithinExposure,
  listCandidateGroups,
  mergeEvidence,
  ROLLOUT_CHART,
  type RolloutBounds,
  type RolloutEvidence,
  type RolloutNews,
  type RolloutOrder,
  type RolloutRecord,
  type RolloutStep,
  type RolloutVerdict,
  refillRolloutBudget,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { OwnEvidence } from "./own_evidence.ts";

type ServiceRolloutParts = {
  readonly order: RolloutOrder;
  readonly bounds: RolloutBounds;
  /** Requests of the bound's slack that this instance may spend. */
  readonly credit: number;
  /** Versions that an earlier order found bad. */
  readonly excluded: readonly string[];
  readonly nowMs: number;
};

/** What is to be placed. */
export type PlacedWork = {
  readonly route: string;
  /** Whether the new version may be given it in the trial. */
  readonly canTry: boolean;
  /** Version that began it; undefined if nothing has begun. */
  readonly begunBy: string | undefined;
};

/** One order to move a service to a new version, as this instance follows it. */
export class ServiceRollout {
  readonly order: RolloutOrder;
  readonly #bounds: RolloutBounds;
  readonly #excluded: readonly string[];
  readonly #own = new OwnEvidence();
  /** By the sender and its incarnation. */
  readonly #peers = new Map<string, RolloutNews>();
  #orderedMs: number;
  #step: RolloutStep = "ordered";
  #stepSinceMs: number;
  #replaced: readonly string[] = [];
  #badReason: string | undefined;
  #badSinceMs = Number.POSITIVE_INFINITY;
  #budget = 0;
  #credit: number;
  /** What it was at the order. */
  readonly #slack: number;
  /** When a peer's news came last, or the order. */
  #newsMs: number;
  /** Answers of the new version by route, as last compared. */
  #answers: ReadonlyMap<string, number> = new Map();

  constructor(parts: ServiceRolloutParts) {
    const { order, bounds, credit, excluded, nowMs } = parts;
    this.order = order;
    this.#bounds = bounds;
    this.#credit = credit;
    this.#slack = credit;
    this.#excluded = excluded;
    this.#newsMs = nowMs;
    this.#orderedMs = nowMs;
    this.#stepSinceMs = nowMs;
  }

  /** The last step that is known to be in the store. */
  get storedStep(): RolloutStep {
    return this.#step;
  }

  /** The step that traffic follows here; a roll-back holds before it is stored. */
  get step(): RolloutStep {
    return this.isEnded || this.#badReason === undefined
      ? this.#step
      : "rolled-back";
  }

  /** Whether the store has its end. */
  get isEnded(): boolean {
    return ROLLOUT_CHART.isFinal(this.#step);
  }

  get badReason(): string | undefined {
    return this.#badReason;
  }

  /** When the version was found bad; infinite unless it was. */
  get badSinceMs(): number {
    return this.#badSinceMs;
  }

  get stepSinceMs(): number {
    return this.#stepSinceMs;
  }

  /** Versions that get nothing for their answers. */
  get badVersions(): readonly string[] {
    const own = this.step === "rolled-back" ? [this.order.to] : [];
    return [...this.#excluded, ...own];
  }

  /** Returns the time since a peer's news came last, in ms. */
  measureEvidenceAgeMs(nowMs: number): number {
    return nowMs - this.#newsMs;
  }

  /** Returns the time since the order, in ms. */
  measureElapsedMs(nowMs: number): number {
    return nowMs - this.#orderedMs;
  }

  /** Sets the time of an order that was given before this instance started. */
  setOrderedMs(orderedMs: number): void {
    this.#orderedMs = Math.min(this.#orderedMs, orderedMs);
  }

  isNew(entry: UpstreamEntry): boolean {
    return getVersion(entry) === this.order.to;
  }

  /** Adopts a step from the store or a peer; returns whether it is a later one. */
  adoptStep(step: RolloutStep, nowMs: number): boolean {
    if (!isLaterStep(step, this.#step)) {
      return false;
    }
    this.#step = step;
    this.#stepSinceMs = nowMs;
    return true;
  }

  adoptRecord({ step, replaced }: RolloutRecord, nowMs: number): boolean {
    this.#replaced = replaced;
    return this.adoptStep(step, nowMs);
  }

  /** Records that the new version is bad; returns whether that is news. */
  markBad(reason: string, nowMs: number): boolean {
    if (this.#badReason !== undefined || this.isEnded) {
      return false;
    }
    this.#badReason = reason;
    this.#badSinceMs = nowMs;
    return true;
  }

  /** Lists the upstreams that may get something, in groups to try in turn. */
  listGroups(
    listed: readonly Candidate[],
    { route, canTry, begunBy }: PlacedWork,
    nowMs: number,
  ): readonly (readonly Candidate[])[] {
    const candidates = listed.filter(
      ({ entry }) => !this.#excluded.includes(getVersion(entry)),
    );
    const canTakeTurn =
      canTry &&
      this.#isWithinExposure(nowMs) &&
      canTakeRolloutTurn({
        budget: this.#budget,
        route,
        answers: this.#answers,
      });
    const fresh = candidates
      .map(({ entry }) => entry)
      .filter((entry) => this.isNew(entry));
    const share = computeStepShare("trial", this.#bounds);
    const chosen =
      canTakeTurn && this.step === "trial"
        ? chooseTrialUpstreams(fresh, this.order, share)
        : undefined;
    return listCandidateGroups({
      candidates,
      step: this.step,
      to: this.order.to,
      replaced: this.#replaced,
      canTakeTurn,
      isInTrial: (id) => chosen?.has(id) === true,
      begunBy,
    });
  }

  #isWithinExposure(nowMs: number): boolean {
    return isWithinExposure({
      ...this.#own.countSent(),
      share: this.#bounds.share,
      slack: this.#slack,
      elapsedMs: this.measureElapsedMs(nowMs),
      durationMs: this.order.durationMs,
    });
  }

  recordSend(entry: UpstreamEntry): void {
    const isNew = this.isNew(entry);
    this.#own.recordSend(isNew);
    const share = computeStepShare(this.step, this.#bounds);
    // The slack is spent along with the share, not all in the first moment.
    const added = Math.min(this.#credit, share);
    this.#credit -= added;
    const refilled = refillRolloutBudget(this.#budget, share + added);
    this.#budget = refilled - (isNew ? 1 : 0);
  }

  recordAnswer(
    entry: UpstreamEntry,
    route: string,
    counts: AnswerCounts,
    nowMs: number,
  ): void {
    const place = {
      period: this.#computePeriod(nowMs),
      route,
      isNew: this.isNew(entry),
      upstreamId: entry.id,
    };
    this.#own.recordAnswer(place, counts);
  }

  /** Records a peer's news; returns whether it says first that it is bad. */
  recordPeerNews(sender: string, news: RolloutNews, nowMs: number): boolean {
    this.adoptStep(news.step, nowMs);
    // What was seen until the end stays; nobody tells it any more then.
    if (!this.isEnded) {
      this.#peers.set(sender, news);
      this.#newsMs = nowMs;
    }
    return news.badReason !== undefined && this.markBad(news.badReason, nowMs);
  }

  buildNews(): RolloutNews {
    const seen = this.#own.build();
    return {
      ...seen,
      ...(this.isEnded ? { rows: [], upstreams: {} } : {}),
      order: this.order.revision,
      step: this.#step,
      badReason: this.#badReason,
    };
  }

  /** Adds up what all instances have seen. */
  mergeEvidence(): RolloutEvidence {
    return mergeEvidence([this.#own.build(), ...this.#peers.values()]);
  }

  /** Compares the versions by what all instances have seen. */
  decideVerdict(evidence: RolloutEvidence, nowMs: number): RolloutVerdict {
    const period = this.#computePeriod(nowMs);
    this.#answers = countAnswers(evidence, period);
    return decideRolloutVerdict(evidence, period);
  }

  #computePeriod(nowMs: number): number {
    return computePeriod(this.measureElapsedMs(nowMs), this.order.durationMs);
  }
}

/** Counts the new version's answers on each route that was in use lately. */
function countAnswers(
  { rows }: RolloutEvidence,
  period: number,
): ReadonlyMap<string, number> {
  const inUse = rows.filter((row) => !row.isNew && row.period >= period - 2);
  return new Map(
    inUse.map(({ route }) => [
      route,
      rows
        .filter((row) => row.isNew && row.route === route)
        .reduce((sum, { answered }) => sum + answered, 0),
    ]),
  );
}
