import type { UpstreamEntry } from "@gooseberryline/core";
import type { VirtualClock } from "./virtual_clock.ts";

type Run = {
  readonly runMs: number;
  readonly onBegin: () => void;
  readonly onEnd: () => void;
};

/** An upstream that runs as many requests as it has slots, and queues others. */
export class VirtualUpstream {
  readonly entry: UpstreamEntry;
  readonly #clock: VirtualClock;
  readonly #running = new Set<Run>();
  #queue: readonly Run[] = [];

  constructor(entry: UpstreamEntry, clock: VirtualClock) {
    this.entry = entry;
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
    run.onBegin();
    this.#clock.startTimer(run.runMs, () => {
      if (this.#release(run)) {
        run.onEnd();
      }
    });
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
