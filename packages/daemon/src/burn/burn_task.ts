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

/** Refusals that are the caller's own doing and use up no allowance. */
const OWN_DOING = ["rate_limited", "key_withdrawn"];

type OpenRequest = {
  readonly order: WorkOrder;
  readonly arrivedMs: number;
  firstTokenMs: number | undefined;
};

/**
 * Follows online requests at the core's boundary and counts those that miss
 * their profile's promise: late, cut off, or refused within their rate.
 */
export class BurnTask {
  readonly #readConfig: () => Config | undefined;
  readonly #readClock: () => number;
  readonly #open = new Map<WorkId, OpenRequest>();
  readonly #workOf = new Map<AttemptId, WorkId>();
  #state: BurnState = {};

  constructor(
    readConfig: () => Config | undefined,
    readClock: () => number = Date.now,
  ) {
    this.#readConfig = readConfig;
    this.#readClock = readClock;
  }

  /** Follows what goes into the core. */
  noteEvent(event: InstanceEvent): void {
    if (event.kind === "request-arrived") {
      const arrivedMs = this.#readClock();
      const { order } = event;
      const request = { order, arrivedMs, firstTokenMs: undefined };
      this.#open.set(order.workId, request);
    } else if (event.kind === "attempt-first-token") {
      this.#noteFirstToken(event.attemptId);
    } else if (event.kind === "attempt-ended") {
      this.#workOf.delete(event.attemptId);
    } else if (event.kind === "request-abandoned") {
      this.#noteAbandoned(event.workId);
    }
  }

  /** Follows what comes out of the core. */
  noteEffect(effect: Effect): void {
    if (effect.kind === "start-attempt") {
      this.#workOf.set(effect.attemptId, effect.workId);
    } else if (effect.kind === "cancel-attempt") {
      this.#workOf.delete(effect.attemptId);
    } else if (effect.kind === "complete-request") {
      this.#end(effect.workId, (request) => this.#isLate(request));
    } else if (effect.kind === "refuse-request") {
      const isOwn = OWN_DOING.includes(effect.refusal.fault.code);
      if (isOwn) {
        this.#open.delete(effect.workId);
      } else {
        this.#end(effect.workId, () => true);
      }
    }
  }

  /** The rows of this instance's report. */
  buildRows(): readonly BurnRow[] {
    const config = this.#readConfig();
    return config === undefined
      ? []
      : buildBurnRows(this.#state, config.document, this.#readClock());
  }

  #noteFirstToken(attemptId: AttemptId): void {
    const workId = this.#workOf.get(attemptId);
    const request = workId === undefined ? undefined : this.#open.get(workId);
    if (request !== undefined && request.firstTokenMs === undefined) {
      request.firstTokenMs = this.#readClock();
    }
  }

  /** A caller that leaves in time says nothing about the service. */
  #noteAbandoned(workId: WorkId): void {
    const request = this.#open.get(workId);
    if (request !== undefined && this.#isLate(request)) {
      this.#end(workId, () => true);
    }
    this.#open.delete(workId);
  }

  #isLate({ order, arrivedMs, firstTokenMs }: OpenRequest): boolean {
    const nowMs = this.#readClock();
    const profile = this.#readConfig()?.document.profiles[order.profile];
    const waitedMs = (firstTokenMs ?? nowMs) - arrivedMs;
    const isSlow = profile !== undefined && waitedMs > profile.firstTokenMs;
    return isSlow || nowMs > order.deadlineMs;
  }

  #end(workId: WorkId, isMissed: (request: OpenRequest) => boolean): void {
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
