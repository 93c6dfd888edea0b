import type { EventLog } from "@gooseberryline/core";
import type { StoreCall } from "./count_store_calls.ts";

const INTERVAL_MS = 10_000;

/** Counts the calls of the store by kind and records, and logs the counts. */
export class StoreCallLog {
  readonly #log: EventLog;
  readonly #counts = new Map<string, number>();
  #total = 0;
  #logged = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(log: EventLog) {
    this.#log = log;
  }

  start(): void {
    this.#timer = setInterval(() => this.#logCounts(), INTERVAL_MS);
  }

  /** Logs the last counts. */
  stop(): void {
    clearInterval(this.#timer);
    this.#logCounts();
  }

  recordCall({ call, records }: StoreCall): void {
    const name = records === "" ? call : `${call} ${records}`;
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    this.#total += 1;
  }

  #logCounts(): void {
    if (this.#total === this.#logged) {
      return;
    }
    this.#logged = this.#total;
    const calls = [...this.#counts]
      .sort(([, a], [, b]) => b - a)
      .map(([name, count]) => `${name} ${count}`)
      .join(", ");
    this.#log.info("store-calls", { total: this.#total, calls });
  }
}
