/**
 * Calls back when no data has arrived in time. After a pause of this process a
 * timer fires before the bytes that arrived meanwhile are read, so the callback
 * waits for one more turn of the event loop, in which data can still reset it.
 */
export class StallTimer {
  readonly #onStall: () => void;
  #timer: NodeJS.Timeout | undefined;
  #generation = 0;

  constructor(onStall: () => void) {
    this.#onStall = onStall;
  }

  start(timeoutMs: number): void {
    this.stop();
    const generation = this.#generation;
    this.#timer = setTimeout(() => {
      setImmediate(() => {
        if (generation === this.#generation) {
          this.#onStall();
        }
      });
    }, timeoutMs);
  }

  stop(): void {
    this.#generation += 1;
    clearTimeout(this.#timer);
  }
}
