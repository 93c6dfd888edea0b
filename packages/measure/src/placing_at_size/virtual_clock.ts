/** Runs steps in virtual time, in ms. */
export class VirtualClock {
  readonly #steps = new Map<number, (() => void)[]>();
  readonly #onTime: (nowMs: number) => void;
  nowMs = 0;

  /** `onTime` is called with each new time. */
  constructor(onTime: (nowMs: number) => void) {
    this.#onTime = onTime;
  }

  /** Runs a step once `delayMs` have passed. */
  startTimer(delayMs: number, step: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const steps = this.#steps.get(atMs) ?? [];
    steps.push(step);
    this.#steps.set(atMs, steps);
  }

  runUntil(endMs: number): void {
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      this.#onTime(this.nowMs);
      const steps = this.#steps.get(this.nowMs) ?? [];
      this.#steps.delete(this.nowMs);
      steps.forEach((step) => {
        step();
      });
    }
  }
}
