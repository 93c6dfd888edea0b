import {
  type AttemptId,
  type BurnRow,
  type BurnState,
  buildBurnRows,
  type Config,
  type Effect,
  type InstanceEvent,
  recordOutcome,
  type WorkId,
  type WorkOrder,
} from "@gooseberryline/core";

/** Refusals caused by the caller, which do not consume error budget. */
const CALLER_FAULT_CODES = ["rate_limited", "key_withdrawn"];

type InFlightRequest = {
  readonly order: WorkOrder;
  readonly arrivedMs: number;
  firstTokenMs: number | undefined;
};

/**
 * Tracks online requests at the core's boundary and counts those that miss
 * their profile's objective: late, interrupted, or refused within their rate.
 */
export class BurnTask {
  readonly #readConfig: () => Config | undefined;
  readonly #readClock: () => number;
  readonly #open = new Map<WorkId, InFlightRequest>();
  readonly #workByAttempt = new Map<AttemptId, WorkId>();
  #state: BurnState = {};

  constructor(
    readConfig: () => Config | undefined,
    readClock: () => number = Date.now,
  ) {
    this.#readConfig = readConfig;
    this.#readClock = readClock;
  }

  /** Records an event that enters the core. */
  recordEvent(event: InstanceEvent): void {
    if (event.kind === "request-arrived") {
      const arrivedMs = this.#readClock();
      const { order } = event;
      const request = { order, arrivedMs, firstTokenMs: undefined };
      this.#open.set(order.workId, request);
    } else if (event.kind === "attempt-first-token") {
      this.#recordFirstToken(event.attemptId);
    } else if (event.kind === "attempt-ended") {
      this.#workByAttempt.delete(event.attemptId);
    } else if (event.kind === "request-abandoned") {
      this.#recordAbandoned(event.workId);
    }
  }

  /** Records an effect that the core emits. */
  recordEffect(effect: Effect): void {
    if (effect.kind === "start-attempt") {
      this.#workByAttempt.set(effect.attemptId, effect.workId);
    } else if (effect.kind === "cancel-attempt") {
      this.#workByAttempt.delete(effect.attemptId);
    } else if (effect.kind === "complete-request") {
      this.#end(effect.workId, (request) => this.#isLate(request));
    } else if (effect.kind === "refuse-request") {
      const isCallerFault = CALLER_FAULT_CODES.includes(
        effect.refusal.fault.code,
      );
      if (isCallerFault) {
        this.#open.delete(effect.workId);
      } else {
        this.#end(effect.workId, () => true);
      }
    }
  }

  /** Builds the rows of this instance's burn report. */
  buildRows(): readonly BurnRow[] {
    const config = this.#readConfig();
    return config === undefined
      ? []
      : buildBurnRows(this.#state, config.document, this.#readClock());
  }

  #recordFirstToken(attemptId: AttemptId): void {
    const workId = this.#workByAttempt.get(attemptId);
    const request = workId === undefined ? undefined : this.#open.get(workId);
    if (request !== undefined && request.firstTokenMs === undefined) {
      request.firstTokenMs = this.#readClock();
    }
  }

  /**
   * Records an abandoned request as missed if it was late; otherwise it is not
   * counted.
   */
  #recordAbandoned(workId: WorkId): void {
    const request = this.#open.get(workId);
    if (request !== undefined && this.#isLate(request)) {
      this.#end(workId, () => true);
    }
    this.#open.delete(workId);
  }

  #isLate({ order, arrivedMs, firstTokenMs }: InFlightRequest): boolean {
    const nowMs = this.#readClock();
    const profile = this.#readConfig()?.document.profiles[order.profile];
    const waitedMs = (firstTokenMs ?? nowMs) - arrivedMs;
    const isSlow = profile !== undefined && waitedMs > profile.firstTokenMs;
    return isSlow || nowMs > order.deadlineMs;
  }

  #end(workId: WorkId, isMissed: (request: InFlightRequest) => boolean): void {
    const request = this.#open.get(workId);
    if (request === undefined) {
      return;
    }
    this.#open.delete(workId);
    const { profile, customer } = request.order;
    this.#state = recordOutcome(
      this.#state,
      { profile, customer, isMissed: isMissed(request) },
      this.#readClock(),
    );
  }
}
