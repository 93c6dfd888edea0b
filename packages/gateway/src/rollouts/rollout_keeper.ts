import {
  DUTIES,
  type EventLog,
  type MetadataEvent,
  type MetadataStore,
  ROLLOUT_CHART,
  ROLLOUT_STEPS,
  type RolloutEvidence,
  type RolloutFacts,
  type RolloutStep,
  shouldAdvanceRollout,
} from "@gooseberryline/core";
import type { RecordDialect } from "../dialect/types.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { runStep } from "../steps/run_step.ts";
import { buildRolloutFacts } from "./build_rollout_facts.ts";
import { ROLLOUT_TIMES } from "./constants.ts";
import { describeEvidence } from "./describe_evidence.ts";
import { describeVerdict } from "./describe_verdict.ts";
import { findRolloutRank } from "./find_rollout_rank.ts";
import { isComparer } from "./is_comparer.ts";
import { logRollout } from "./log_rollout.ts";
import { rolloutRecord } from "./rollout_record.ts";
import { RolloutRecords } from "./rollout_records.ts";
import type { ServiceRollout } from "./service_rollout.ts";

type RolloutKeeperParts = {
  readonly view: FleetView;
  readonly store: Pick<MetadataStore, "commit">;
  readonly dialect: RecordDialect;
  readonly log: EventLog;
};

const TOO_LONG = {
  kind: "unreadable",
  reason: "the service's name is too long",
} as const;

/** A step that the store should have, and since when it is due here. */
type DueStep = { readonly step: RolloutStep; readonly sinceMs: number };

/**
 * Moves roll-outs on: compares the versions, and writes the next step. The
 * instance of the lowest rank comes first, the others wait for it; the condition
 * of the write makes two that write harmless.
 */
export class RolloutKeeper {
  readonly #parts: RolloutKeeperParts;
  readonly #records: RolloutRecords;
  readonly #due = new Map<string, DueStep>();
  readonly #notBeforeMs = new Map<string, number>();
  readonly #writing = new Set<string>();
  readonly #startedMs: number;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(parts: RolloutKeeperParts) {
    this.#parts = parts;
    const { rollouts } = parts.view;
    this.#startedMs = parts.view.readNowMs();
    this.#records = new RolloutRecords({
      ...parts,
      onAdopted: (rollout, isLaterStep) => {
        this.#adoptOrderTime(rollout);
        if (isLaterStep) {
          this.#logStep(rollout, "store");
        }
      },
    });
    rollouts.onOrderBehind = () => parts.view.onConfigBehind();
    rollouts.onBad = (rollout, source) => this.#logBad(rollout, source);
    rollouts.onStep = (rollout, source) => this.#logStep(rollout, source);
  }

  /** Starts to write, once all records have been read. */
  start(): void {
    this.#parts.view.rollouts.start();
    if (this.#parts.view.rollouts.isOn) {
      this.#checkLater();
    }
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Handles a change of the operators' order for a service. */
  handleOrderEvent(service: string, event: MetadataEvent): void {
    const { view, dialect, log } = this.#parts;
    if (!view.rollouts.isOn) {
      return;
    }
    if (event.kind === "removed") {
      view.rollouts.dropOrder(service);
      this.#due.delete(service);
      log.info("rollout-withdrawn", { service });
      return;
    }
    const { value, revision } = event.item;
    const parsed = rolloutRecord.canHold(service)
      ? dialect.parseRolloutOrder(service, value)
      : TOO_LONG;
    if (parsed.kind === "unreadable") {
      const { reason } = parsed;
      log.warn("rollout-order-unreadable", { service, revision, reason });
      return;
    }
    const rollout = view.rollouts.setOrder({ ...parsed.value, revision });
    if (rollout !== undefined) {
      this.#due.delete(service);
      this.#adoptOrderTime(rollout);
      const { to, durationMs } = rollout.order;
      const { step } = rollout;
      log.info("rollout-ordered", { service, to, durationMs, revision, step });
    }
  }

  /** Handles a change of a service's step in the store. */
  handleRecordEvent(service: string, event: MetadataEvent): void {
    this.#records.handleEvent(service, event);
  }

  /** An instance that has just started takes an order's time from the store. */
  #adoptOrderTime(rollout: ServiceRollout): void {
    const nowMs = this.#parts.view.readNowMs();
    const record = this.#records.get(rollout);
    const hasJustStarted = nowMs - this.#startedMs < ROLLOUT_TIMES.START_MS;
    if (hasJustStarted && record !== undefined) {
      rollout.setOrderedMs(nowMs - (Date.now() - record.orderedAtMs));
    }
  }

  #checkLater(): void {
    if (this.#isStopped) {
      return;
    }
    const delayMs = Math.max(
      ROLLOUT_TIMES.CHECK_INTERVAL_MS,
      this.#parts.view.members.count() *
        ROLLOUT_TIMES.CHECK_INTERVAL_PER_MEMBER_MS,
    );
    this.#timer = setTimeout(() => {
      this.#checkAll();
      this.#checkLater();
    }, delayMs);
  }

  #checkAll(): void {
    const { view, log } = this.#parts;
    if (view.settings.duty !== DUTIES.serve || !isComparer(view)) {
      this.#due.clear();
      return;
    }
    view.rollouts
      .list()
      .filter(({ isEnded }) => !isEnded)
      .forEach((rollout) => {
        const about = { step: "rollout", key: rollout.order.service };
        runStep(log, about, () => this.#check(rollout));
      });
  }

  #check(rollout: ServiceRollout): void {
    const { view } = this.#parts;
    const nowMs = view.readNowMs();
    const evidence = rollout.mergeEvidence();
    const verdict = rollout.decideVerdict(evidence, nowMs);
    const isNews =
      verdict.kind === "bad" &&
      rollout.markBad(describeVerdict(verdict), nowMs);
    if (isNews) {
      this.#logBad(rollout, "here");
      view.rollouts.onUrgentNews();
    }
    const facts = buildRolloutFacts(view, rollout, evidence);
    const step = this.#findDueStep(rollout, facts);
    if (step === undefined) {
      this.#due.delete(rollout.order.service);
      return;
    }
    if (this.#isTurn(rollout, step, nowMs)) {
      void this.#writeAlone(rollout, step, evidence);
    }
  }

  /** Whether this instance is the one to write a step that is due. */
  #isTurn(rollout: ServiceRollout, step: RolloutStep, nowMs: number): boolean {
    const { service } = rollout.order;
    const known = this.#due.get(service);
    const due = known?.step === step ? known : { step, sinceMs: nowMs };
    this.#due.set(service, due);
    const rank = findRolloutRank(this.#parts.view, rollout);
    const rankDelayMs =
      step === "rolled-back"
        ? ROLLOUT_TIMES.ROLL_BACK_RANK_DELAY_MS
        : ROLLOUT_TIMES.ADVANCE_RANK_DELAY_MS;
    const delayMs = Math.min(rank, ROLLOUT_TIMES.MAX_RANK) * rankDelayMs;
    const notBeforeMs = this.#notBeforeMs.get(service) ?? 0;
    return (
      nowMs >= Math.max(due.sinceMs + delayMs, notBeforeMs) &&
      !this.#writing.has(service)
    );
  }

  #findDueStep(
    rollout: ServiceRollout,
    facts: RolloutFacts,
  ): RolloutStep | undefined {
    if (rollout.badReason !== undefined) {
      return "rolled-back";
    }
    if (shouldAdvanceRollout(facts)) {
      const next = ROLLOUT_CHART.next(rollout.storedStep, "ADVANCE");
      return ROLLOUT_STEPS.find((step) => step === next);
    }
    // The order itself is recorded even while it can't begin.
    return this.#records.get(rollout) === undefined ? "ordered" : undefined;
  }

  async #writeAlone(
    rollout: ServiceRollout,
    step: RolloutStep,
    evidence: RolloutEvidence,
  ): Promise<void> {
    const { view, log } = this.#parts;
    const { service } = rollout.order;
    const { bad, answered, sentNew } = describeEvidence(evidence);
    const reason = `${bad} bad of ${answered} answers to ${sentNew} requests`;
    this.#writing.add(service);
    const about = { step: "rollout-write", key: service };
    await runSlowStep(log, about, async () => {
      if (await this.#records.write(rollout, step, reason)) {
        view.rollouts.onUrgentNews();
      }
    });
    this.#writing.delete(service);
    const notBeforeMs = view.readNowMs() + ROLLOUT_TIMES.RETRY_DELAY_MS;
    this.#notBeforeMs.set(service, notBeforeMs);
  }

  #logStep(rollout: ServiceRollout, source: string): void {
    const nowMs = this.#parts.view.readNowMs();
    const reason = this.#records.get(rollout)?.reason;
    const news = { event: "rollout-step", source, reason, nowMs } as const;
    logRollout(this.#parts.log, rollout, news);
  }

  #logBad(rollout: ServiceRollout, source: string): void {
    const nowMs = this.#parts.view.readNowMs();
    const reason = rollout.badReason;
    const news = { event: "rollout-bad", source, reason, nowMs } as const;
    logRollout(this.#parts.log, rollout, news);
  }
}
