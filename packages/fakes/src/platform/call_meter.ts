import type { StoreCalls, StoreOptions } from "./types.ts";

const WRITE_PATHS = ["/kv/cas", "/lease/grant", "/lease/keep"];
const DEFAULT_WRITES_PER_SECOND = 400;
const DEFAULT_READS_PER_SECOND = 2_000;
const MS_PER_SECOND = 1000;

/** Counts calls and rejects those that exceed the service's rate limits. */
export class CallMeter {
  readonly #calls = new Map<string, number>();
  readonly #writesPerSecond: number;
  readonly #readsPerSecond: number;
  #second = 0;
  #writes = 0;
  #reads = 0;

  constructor(options: StoreOptions) {
    this.#writesPerSecond =
      options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
    this.#readsPerSecond = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
  }

  /** Counts a call; returns false if the limit of this second is exceeded. */
  admitCall(path: string, nowMs: number): boolean {
    this.#calls.set(path, (this.#calls.get(path) ?? 0) + 1);
    const second = Math.floor(nowMs / MS_PER_SECOND);
    if (second !== this.#second) {
      this.#second = second;
      this.#writes = 0;
      this.#reads = 0;
    }
    if (WRITE_PATHS.includes(path)) {
      this.#writes += 1;
      return this.#writes <= this.#writesPerSecond;
    }
    this.#reads += 1;
    return this.#reads <= this.#readsPerSecond;
  }

  readCalls(): StoreCalls {
    return Object.fromEntries(this.#calls);
  }
}
