import TinyQueue from "tinyqueue";

type Entry = {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
};

/** Runs callbacks in order of virtual time, then in order of insertion. */
export class EventQueue {
  #nowMs = 0;
  #count = 0;
  readonly #entries = new TinyQueue<Entry>(
    [],
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, run: () => void): void {
    this.#count += 1;
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#entries.push({ atMs, sequence: this.#count, run });
  }

  /** Runs all callbacks that are due by `untilMs` and advances the clock. */
  runUntil(untilMs: number): void {
    while (
      (this.#entries.peek()?.atMs ?? Number.POSITIVE_INFINITY) <= untilMs
    ) {
      const entry = this.#entries.pop();
      if (entry === undefined) {
        break;
      }
      this.#nowMs = entry.atMs;
      entry.run();
    }
    this.#nowMs = untilMs;
  }
}
