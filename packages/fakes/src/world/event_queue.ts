import TinyQueue from "tinyqueue";

type Entry = {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
};

/** Runs callbacks in the order of virtual time; ties in order of entry. */
export class EventQueue {
  #nowMs = 0;
  #count = 0;
  readonly #entries = new TinyQueue<Entry>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, run: () => void): void {
    this.#count += 1;
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#entries.push({ atMs, order: this.#count, run });
  }

  /** Runs everything that is due up to `untilMs`. */
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
