import { drawRandom } from "../shared/draw_random.ts";
import { canTakeRolloutTurn } from "./can_take_rollout_turn.ts";
import { computePeriod } from "./compute_period.ts";
import { computeStepShare } from "./compute_step_share.ts";
import { ROLLOUTS } from "./constants.ts";
import { decideRolloutVerdict } from "./decide_rollout_verdict.ts";
import { isLaterStep } from "./is_later_step.ts";
import { mergeEvidence } from "./merge_evidence.ts";
import { refillRolloutBudget } from "./refill_rollout_budget.ts";
import { ROLLOUT_CHART } from "./rollout_chart.ts";
import type {
  LoadAnswer,
  LoadRequest,
  LoadResult,
  RolloutLoad,
} from "./rollout_load_types.ts";
import { shouldAdvanceRollout } from "./should_advance_rollout.ts";
import {
  type EvidenceRow,
  ROLLOUT_STEPS,
  type RolloutEvidence,
  type RolloutStep,
} from "./types.ts";

type Instance = {
  budget: number;
  credit: number;
  step: RolloutStep;
  sinceMs: number;
  isBad: boolean;
  /** What came since the last snapshot. */
  fresh: RolloutEvidence[];
  own: RolloutEvidence;
  peers: Map<number, RolloutEvidence>;
};

type Message = {
  readonly to: number;
  readonly from: number;
  readonly atMs: number;
  readonly news: Pick<Instance, "own" | "step" | "isBad">;
};

const BOUNDS = { share: 0.1, slack: 50 };
const TICK_MS = 50;
const MESSAGE_MS = 400;
const CHECK_MS = 200;
const IDLE_MS = 500;
const RAMP_STEPS = 10;
const MAX_ERRORS = 0.05;
const NO_EVIDENCE: RolloutEvidence = {
  rows: [],
  upstreams: {},
  sentNew: 0,
  sentOld: 0,
};

/** Plays a roll-out in virtual time; equal seeds give equal results. */
export const rolloutLoadFixture = {
  runLoad: (load: RolloutLoad): LoadResult => new LoadRun(load).run(),
} as const;

class LoadRun {
  readonly #load: RolloutLoad;
  readonly #instances: readonly Instance[];
  #messages: Message[] = [];
  #seed: number;
  #nowMs = 0;
  #sentNew = 0;
  #total = 0;
  #badCount = 0;
  #fiftiethMs = 0;
  #lastNewMs = 0;
  #endMs = 0;

  constructor(load: RolloutLoad) {
    this.#load = load;
    this.#seed = load.seed;
    const credit = (BOUNDS.slack * ROLLOUTS.SLACK_PART) / load.instances;
    this.#instances = Array.from({ length: load.instances }, () => ({
      budget: 0,
      credit,
      step: "trial" as const,
      sinceMs: 0,
      isBad: false,
      fresh: [],
      own: NO_EVIDENCE,
      peers: new Map(),
    }));
  }

  run(): LoadResult {
    const length = this.#load.durationMs / TICK_MS;
    const ticks = Array.from({ length }, (_, at) => at);
    ticks.forEach((tick) => {
      this.#nowMs = tick * TICK_MS;
      this.#deliver();
      this.#sendRequests();
      this.#instances.forEach((instance, index) => {
        this.#step(instance, index, tick);
      });
    });
    const afterMs = this.#lastNewMs - this.#fiftiethMs;
    return {
      step: this.#instances[0]?.step ?? "ordered",
      endMs: this.#endMs,
      sentNew: this.#sentNew,
      total: this.#total,
      allowed: this.#total * BOUNDS.share + BOUNDS.slack,
      afterFiftiethMs: this.#fiftiethMs === 0 ? 0 : Math.max(0, afterMs),
    };
  }

  #draw(): number {
    const { value, seed } = drawRandom(this.#seed);
    this.#seed = seed;
    return value;
  }

  #sendRequests(): void {
    const expected = (this.#load.perSecond * TICK_MS) / 1_000;
    const count = Math.floor(expected + this.#draw());
    Array.from({ length: count }, () => this.#draw()).forEach((draw) => {
      const instance =
        this.#instances[Math.floor(draw * this.#instances.length)];
      if (instance !== undefined) {
        this.#send(instance);
      }
    });
  }

  #send(instance: Instance): void {
    const route = this.#drawRoute();
    const isNew = this.#isForNew(instance, route);
    const share = this.#getShare(instance);
    const added = Math.min(instance.credit, share);
    instance.credit -= added;
    instance.budget =
      refillRolloutBudget(instance.budget, share + added) - (isNew ? 1 : 0);
    this.#sentNew += isNew ? 1 : 0;
    this.#total += 1;
    this.#lastNewMs = isNew ? this.#nowMs : this.#lastNewMs;
    const used =
      isNew && instance.step === "trial"
        ? ROLLOUTS.MIN_TRIAL_UPSTREAMS
        : this.#load.upstreams;
    const upstream = Math.floor(this.#draw() * used);
    const atMs = this.#nowMs;
    const newRun = isNew ? this.#sentNew : 0;
    const request = { isNew, newRun, route, upstream, atMs, share };
    this.#record(instance, request, this.#load.answer(request, this.#draw()));
  }

  #isForNew(instance: Instance, route: string): boolean {
    const { budget, step, isBad } = instance;
    if (isBad || (this.#load.policy ?? "product") !== "product") {
      return !isBad && this.#draw() < this.#getShare(instance);
    }
    return (
      !isLaterStep("all", step) ||
      canTakeRolloutTurn({ budget, route, answers: new Map() })
    );
  }

  #getShare({ step }: Instance): number {
    const { policy = "product", durationMs } = this.#load;
    return policy === "product"
      ? computeStepShare(step, BOUNDS)
      : Math.ceil((this.#nowMs / durationMs) * RAMP_STEPS) / RAMP_STEPS;
  }

  #drawRoute(): string {
    return this.#draw() < this.#load.rareShare ? "rare" : "common";
  }

  #record(
    instance: Instance,
    { isNew, route, upstream }: LoadRequest,
    { failed = false, broken = false, slow = false }: LoadAnswer,
  ): void {
    const isBad = failed || broken || slow;
    if (isNew && isBad) {
      this.#badCount += 1;
      this.#fiftiethMs = this.#badCount === 50 ? this.#nowMs : this.#fiftiethMs;
    }
    const row: EvidenceRow = {
      period: computePeriod(this.#nowMs, this.#load.durationMs),
      route,
      isNew,
      answered: 1,
      failed: failed ? 1 : 0,
      broken: broken ? 1 : 0,
      judged: 1,
      slow: slow ? 1 : 0,
    };
    const upstreams = isNew
      ? { [`u${upstream}`]: { answered: 1, bad: isBad ? 1 : 0 } }
      : {};
    const sent = { sentNew: isNew ? 1 : 0, sentOld: isNew ? 0 : 1 };
    instance.fresh.push({ rows: [row], upstreams, ...sent });
  }

  #step(instance: Instance, index: number, tick: number): void {
    const turn = tick + index;
    if (turn % (CHECK_MS / TICK_MS) === 0) {
      this.#check(instance, index);
    }
    if (turn % (MESSAGE_MS / TICK_MS) === 0) {
      this.#tell(instance, index);
    }
  }

  #check(instance: Instance, index: number): void {
    instance.own = mergeEvidence([instance.own, ...instance.fresh.splice(0)]);
    const evidence = mergeEvidence([instance.own, ...instance.peers.values()]);
    if (!instance.isBad && this.#isFoundBad(evidence)) {
      instance.isBad = true;
      this.#tell(instance, index);
    }
    if (index !== 0 || ROLLOUT_CHART.isFinal(instance.step)) {
      return;
    }
    const next = instance.isBad
      ? "rolled-back"
      : this.#findNext(instance, evidence);
    if (next !== undefined) {
      instance.step = next;
      instance.sinceMs = this.#nowMs;
      this.#endMs = this.#nowMs;
      this.#tell(instance, index);
    }
  }

  #isFoundBad(evidence: RolloutEvidence): boolean {
    const { policy = "product", durationMs } = this.#load;
    const fresh = evidence.rows.filter(({ isNew }) => isNew);
    const answered = fresh.reduce((sum, row) => sum + row.answered, 0);
    const bad = fresh.reduce((sum, row) => sum + row.failed, 0);
    const period = computePeriod(this.#nowMs, durationMs);
    switch (policy) {
      case "product":
        return decideRolloutVerdict(evidence, period).kind === "bad";
      case "fixed-ramp":
        return false;
      case "error-rate-ramp":
        return answered >= 20 && bad > answered * MAX_ERRORS;
    }
  }

  #findNext(
    { step, sinceMs }: Instance,
    evidence: RolloutEvidence,
  ): RolloutStep | undefined {
    const { durationMs, upstreams } = this.#load;
    const canAdvance = shouldAdvanceRollout({
      step,
      durationMs,
      elapsedMs: this.#nowMs,
      sinceStepMs: this.#nowMs - sinceMs,
      evidence,
      newSlots: upstreams,
      oldSlots: upstreams,
      hasNew: true,
      isOldIdle:
        this.#instances.every((other) => !isLaterStep("all", other.step)) &&
        this.#nowMs - sinceMs > IDLE_MS,
    });
    const next = ROLLOUT_CHART.next(step, "ADVANCE");
    return canAdvance
      ? ROLLOUT_STEPS.find((known) => known === next)
      : undefined;
  }

  #tell({ own, step, isBad }: Instance, from: number): void {
    const atMs = this.#nowMs + this.#load.newsMs;
    const news = { own, step, isBad };
    this.#messages = this.#instances
      .map((_, to) => ({ to, from, atMs, news }))
      .filter(({ to }) => to !== from && this.#draw() >= this.#load.lost)
      .concat(this.#messages);
  }

  #deliver(): void {
    const due = this.#messages.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#messages = this.#messages.filter(({ atMs }) => atMs > this.#nowMs);
    due.forEach(({ to, from, news }) => {
      const instance = this.#instances[to];
      if (instance === undefined) {
        return;
      }
      instance.peers.set(from, news.own);
      instance.isBad ||= news.isBad;
      if (isLaterStep(news.step, instance.step)) {
        instance.step = news.step;
        instance.sinceMs = this.#nowMs;
      }
    });
  }
}
