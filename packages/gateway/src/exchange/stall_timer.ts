/**
 * Tells that nothing has come for a while. After a stall of this process a
 * timer fires before the bytes that arrived meanwhile are read, so the last
 * word is had after one more turn of the event loop.
 */
export class StallTimer {
  readonly #onStall: () => void;
  #timer: NodeJS.Timeout | undefined;
  #generation = 0;

  constructor(onSilent: () => void) {
    this.#onStall = onSilent;
  }

  start(withinMs: number): void {
    this.stop();
    const round = this.#generation;
    this.#timer = setTimeout(() => {
      setImmediate(() => {
        if (round === this.#generation) {
          this.#onStall();
        }
      });
    }, withinMs);
  }

  stop(): void {
    this.#generation += 1;
    clearTimeout(this.#timer);
  }
}
