/** Work that waits for room, with its bytes. */
type Waiting = { readonly bytes: number; readonly start: () => void };

/** Bytes of jobs that may wait, as a multiple of those that are worked on. */
const WAITING_FACTOR = 4;

/**
 * Bounds the jobs that are decoded and written at the same time, since each takes
 * many times its bytes until the store has it. The others wait in order; one that is
 * larger than all the room goes alone.
 */
export class JobRoom {
  readonly #limit: number;
  #used = 0;
  #waitingBytes = 0;
  /** In the order in which they came. */
  readonly #waiting = new Set<Waiting>();

  /** `limit` is in bytes of jobs as they were sent. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether a job of so many bytes may wait, or be begun. */
  canWait(bytes: number): boolean {
    return (
      this.#waiting.size === 0 ||
      this.#waitingBytes + bytes <= this.#limit * WAITING_FACTOR
    );
  }

  /**
   * Does the work of a job once there is room for its bytes. `onLeft` is given what
   * is to be called when its sender leaves; a job that waits then is not begun.
   */
  async run(
    bytes: number,
    work: () => Promise<void>,
    onLeft: (leave: () => void) => void = () => undefined,
  ): Promise<void> {
    const isBegun = await new Promise<boolean>((resolve) => {
      const waiting = { bytes, start: () => resolve(true) };
      this.#waiting.add(waiting);
      this.#waitingBytes += bytes;
      this.#startNext();
      onLeft(() => {
        if (this.#remove(waiting)) {
          resolve(false);
          // It may have been the one that the others wait behind.
          this.#startNext();
        }
      });
    });
    if (!isBegun) {
      return;
    }
    try {
      await work();
    } finally {
      this.#used -= bytes;
      this.#startNext();
    }
  }

  #startNext(): void {
    // Ends at the first that has no room; thousands may wait.
    for (const next of this.#waiting) {
      if (this.#used > 0 && this.#used + next.bytes > this.#limit) {
        return;
      }
      this.#remove(next);
      this.#used += next.bytes;
      next.start();
    }
  }

  #remove(waiting: Waiting): boolean {
    const isRemoved = this.#waiting.delete(waiting);
    this.#waitingBytes -= isRemoved ? waiting.bytes : 0;
    return isRemoved;
  }
}
