import type { AttemptId, UpstreamId } from "@gooseberryline/core";
import type { EventQueue } from "./event_queue.ts";
import type { EngineFault, EngineModel } from "./types.ts";

/** What an engine tells the instance that sent it a request. */
export type EngineNotice =
  | { readonly kind: "first-token" }
  | { readonly kind: "whole"; readonly tokens: number }
  | { readonly kind: "cut-off" }
  | { readonly kind: "crashed" }
  | { readonly kind: "refused" };

type Running = {
  readonly tokens: number;
  readonly tell: (notice: EngineNotice) => void;
};

/** A model engine under virtual time: admits all, slows with its load. */
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

  /** Whether it refuses connections. */
  get isDown(): boolean {
    return this.#fault.isDown;
  }

  get crashes(): number {
    return this.#crashes;
  }

  /** Changes with each cold start; answers carry it. */
  get bootId(): string {
    return `${this.upstreamId}-${this.#bootId}`;
  }

  /** Requests that it bears at present. */
  get bears(): number {
    const { coldSlots, warmAfter, slots } = this.#model;
    const warmth = Math.min(1, this.#completions / Math.max(1, warmAfter));
    return warmth >= 1
      ? Number.POSITIVE_INFINITY
      : coldSlots + Math.floor(warmth * (slots - coldSlots));
  }

  setFault(fault: Partial<EngineFault>): void {
    this.#fault = { ...this.#fault, ...fault };
  }

  /** Starts it cold again; what ran is lost. */
  turnCold(): void {
    this.#bootId += 1;
    this.#completions = 0;
    const lost = [...this.#running.values()];
    this.#running.clear();
    lost.forEach(({ tell }) => {
      tell({ kind: "crashed" });
    });
  }

  start(attemptId: AttemptId, running: Running): void {
    if (this.#fault.isDown) {
      running.tell({ kind: "refused" });
      return;
    }
    this.#running.set(attemptId, running);
    if (this.#running.size > this.bears) {
      this.#crashes += 1;
      this.turnCold();
      return;
    }
    if (this.#fault.isSilent) {
      return;
    }
    this.#queue.schedule(this.#model.firstTokenMs * this.#slowness(), () =>
      this.#emitFirst(attemptId),
    );
  }

  /** Loses one running answer while new requests work. */
  silence(attemptId: AttemptId): void {
    const running = this.#running.get(attemptId);
    if (running !== undefined) {
      this.#running.set(attemptId, { ...running, tell: () => undefined });
    }
  }

  cancel(attemptId: AttemptId): void {
    this.#running.delete(attemptId);
  }

  #emitFirst(attemptId: AttemptId): void {
    const running = this.#running.get(attemptId);
    if (running === undefined || this.#fault.isSilent) {
      return;
    }
    running.tell({ kind: "first-token" });
    const restMs = running.tokens * this.#model.tokenMs * this.#slowness();
    this.#queue.schedule(restMs, () => this.#finish(attemptId));
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
    running.tell(
      isCut ? { kind: "cut-off" } : { kind: "whole", tokens: running.tokens },
    );
  }

  /** How much slower than unloaded: batching is cheap up to the slots. */
  #slowness(): number {
    const load = this.#running.size / this.#model.slots;
    return load <= 1 ? 1 + load / 4 : 1.25 * load * load;
  }
}
