/**
 * Tells that nothing has come for a while. After a stall of this process a
 * timer fires before the bytes that arrived meanwhile are read, so the last
 * word is had after one more turn of the event loop.
 */
export class SilenceTimer {
  readonly #onSilent: () => void;
  #timer: NodeJS.Timeout | undefined;
  #round = 0;

  constructor(onSilent: () => void) {
    this.#onSilent = onSilent;
  }

  start(withinMs: number): void {
    this.stop();
    const round = this.#round;
    this.#timer = setTimeout(() => {
      setImmediate(() => {
        if (round === this.#round) {
          this.#onSilent();
        }
      });
    }, withinMs);
  }

  stop(): void {
    this.#round += 1;
    clearTimeout(this.#timer);
  }
}
