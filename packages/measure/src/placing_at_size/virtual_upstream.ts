import type { UpstreamEntry } from "@gooseberryline/core";
import type { VirtualClock } from "./virtual_clock.ts";

type Run = {
  readonly runMs: number;
  /** Called with the time that it takes, relative to a usual upstream. */
  readonly onBegin: (slowness: number) => void;
  readonly onEnd: () => void;
};

/** How fast an upstream is, and when it has its slow moments. */
type UpstreamPace = {
  readonly speed: number;
  readonly slowFactor: number;
  /** Part of the period that has passed at first. */
  readonly phase: number;
};

/** Period of an upstream's slow moments and their length, in ms. */
const SLOW_PERIOD_MS = 12_000;
const SLOW_MS = 3_000;

/** An upstream that runs as many requests as it has slots, and queues others. */
export class VirtualUpstream {
  readonly entry: UpstreamEntry;
  readonly #pace: UpstreamPace;
  readonly #clock: VirtualClock;
  readonly #running = new Set<Run>();
  #queue: readonly Run[] = [];

  constructor(entry: UpstreamEntry, pace: UpstreamPace, clock: VirtualClock) {
    this.entry = entry;
    this.#pace = pace;
    this.#clock = clock;
  }

  /** Whether work waits for a slot. */
  hasQueue(): boolean {
    return this.#queue.length > 0;
  }

  isFull(): boolean {
    return this.#running.size >= this.entry.slots;
  }

  /** Takes a run; returns a function that cancels it. */
  accept(run: Run): () => void {
    if (this.isFull()) {
      this.#queue = [...this.#queue, run];
    } else {
      this.#begin(run);
    }
    return () => {
      this.#queue = this.#queue.filter((other) => other !== run);
      this.#release(run);
    };
  }

  #begin(run: Run): void {
    this.#running.add(run);
    const slowness = this.#computeSlowness();
    run.onBegin(slowness);
    this.#clock.startTimer(run.runMs * slowness, () => {
      if (this.#release(run)) {
        run.onEnd();
      }
    });
  }

  #computeSlowness(): number {
    const { speed, slowFactor, phase } = this.#pace;
    const passedMs = this.#clock.nowMs + phase * SLOW_PERIOD_MS;
    return (passedMs % SLOW_PERIOD_MS < SLOW_MS ? slowFactor : 1) / speed;
  }

  #release(run: Run): boolean {
    const wasRunning = this.#running.delete(run);
    const [next] = this.#queue;
    if (wasRunning && next !== undefined) {
      this.#queue = this.#queue.slice(1);
      this.#begin(next);
    }
    return wasRunning;
  }
}
