import type { AttemptId, UpstreamId } from "@gooseberryline/core";
import type { EventQueue } from "./event_queue.ts";
import type { EngineFault, EngineModel } from "./types.ts";

/** A notice from an engine to the instance that sent the request. */
export type EngineNotice =
  | { readonly kind: "first-token" }
  | { readonly kind: "whole"; readonly tokens: number }
  | { readonly kind: "cut-off" }
  | { readonly kind: "crashed" }
  | { readonly kind: "refused" };

type Running = {
  readonly tokens: number;
  readonly sendNotice: (notice: EngineNotice) => void;
};

/**
 * Simulates a model engine under virtual time. It admits every request and
 * slows down under load.
 */
export class VirtualEngine {
  readonly upstreamId: UpstreamId;
  readonly #queue: EventQueue;
  readonly #model: EngineModel;
  readonly #running = new Map<AttemptId, Running>();
  #completions: number;
  #fault: EngineFault = { isSilent: false, isDown: false, cutShare: 0 };
  #crashes = 0;
  #bootId = 1;
  #answered = 0;

  constructor(upstreamId: UpstreamId, queue: EventQueue, model: EngineModel) {
    this.upstreamId = upstreamId;
    this.#queue = queue;
    this.#model = model;
    this.#completions = model.warmAfter;
  }

  get inFlight(): number {
    return this.#running.size;
  }

  /** Whether the engine refuses connections. */
  get isDown(): boolean {
    return this.#fault.isDown;
  }

  get crashes(): number {
    return this.#crashes;
  }

  /** Boot ID that answers carry; it changes with each cold start. */
  get bootId(): string {
    return `${this.upstreamId}-${this.#bootId}`;
  }

  /** Number of concurrent requests above which the engine crashes now. */
  get capacity(): number {
    const { coldSlots, warmAfter, slots } = this.#model;
    const warmth = Math.min(1, this.#completions / Math.max(1, warmAfter));
    return warmth >= 1
      ? Number.POSITIVE_INFINITY
      : coldSlots + Math.floor(warmth * (slots - coldSlots));
  }

  setFault(fault: Partial<EngineFault>): void {
    this.#fault = { ...this.#fault, ...fault };
  }

  /** Restarts the engine cold; requests in flight are lost. */
  startCold(): void {
    this.#bootId += 1;
    this.#completions = 0;
    const lost = [...this.#running.values()];
    this.#running.clear();
    lost.forEach(({ sendNotice }) => {
      sendNotice({ kind: "crashed" });
    });
  }

  start(attemptId: AttemptId, running: Running): void {
    if (this.#fault.isDown) {
      running.sendNotice({ kind: "refused" });
      return;
    }
    this.#running.set(attemptId, running);
    if (this.#running.size > this.capacity) {
      this.#crashes += 1;
      this.startCold();
      return;
    }
    if (this.#fault.isSilent) {
      return;
    }
    this.#queue.schedule(
      this.#model.firstTokenMs * this.#computeSlowdown(),
      () => this.#sendFirstToken(attemptId),
    );
  }

  /** Suppresses the answer of one request in flight; new requests work. */
  dropAnswer(attemptId: AttemptId): void {
    const running = this.#running.get(attemptId);
    if (running !== undefined) {
      this.#running.set(attemptId, { ...running, sendNotice: () => undefined });
    }
  }

  cancel(attemptId: AttemptId): void {
    this.#running.delete(attemptId);
  }

  #sendFirstToken(attemptId: AttemptId): void {
    const running = this.#running.get(attemptId);
    if (running === undefined || this.#fault.isSilent) {
      return;
    }
    running.sendNotice({ kind: "first-token" });
    const remainingMs =
      running.tokens * this.#model.tokenMs * this.#computeSlowdown();
    this.#queue.schedule(remainingMs, () => this.#finish(attemptId));
  }

  #finish(attemptId: AttemptId): void {
    const running = this.#running.get(attemptId);
    if (running === undefined || this.#fault.isSilent) {
      return;
    }
    this.#running.delete(attemptId);
    this.#completions += 1;
    this.#answered += 1;
    const { cutShare } = this.#fault;
    const isCut =
      cutShare > 0 && this.#answered % Math.round(1 / cutShare) === 0;
    running.sendNotice(
      isCut ? { kind: "cut-off" } : { kind: "whole", tokens: running.tokens },
    );
  }

  /**
   * Computes the slowdown relative to no load. Up to the number of slots,
   * batching adds at most 25 %.
   */
  #computeSlowdown(): number {
    const load = this.#running.size / this.#model.slots;
    return load <= 1 ? 1 + load / 4 : 1.25 * load * load;
  }
}
