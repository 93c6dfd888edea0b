import { write } from "node:fs";

/** Lines buffered while the reader is slow; others are dropped and counted. */
const MAX_BUFFERED_LINES = 2_000;
const STANDARD_OUTPUT = 1;

/**
 * Writes log lines to standard output without blocking on a slow reader. One
 * write is in flight; later lines are buffered up to a limit, and a
 * "log-dropped" line reports how many were dropped beyond it.
 */
export class LineSink {
  #held: string[] = [];
  #dropped = 0;
  #isWriting = false;

  writeLine(line: string): void {
    if (this.#held.length >= MAX_BUFFERED_LINES) {
      this.#dropped += 1;
      return;
    }
    this.#held.push(line);
    this.#drain();
  }

  #drain(): void {
    if (this.#isWriting || this.#held.length === 0) {
      return;
    }
    this.#isWriting = true;
    const text = this.#takeBuffered();
    this.#writeAll(Buffer.from(text), () => {
      this.#isWriting = false;
      this.#drain();
    });
  }

  #takeBuffered(): string {
    const text = this.#held.join("");
    const dropped = this.#dropped;
    this.#held = [];
    this.#dropped = 0;
    return dropped === 0
      ? text
      : `${text}${JSON.stringify({ event: "log-dropped", lines: dropped })}\n`;
  }

  #writeAll(bytes: Buffer, onDone: () => void): void {
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      if (error !== null && error.code !== "EAGAIN") {
        // Standard output has failed, so the error can't be logged either.
        onDone();
        return;
      }
      const rest = bytes.subarray(written ?? 0);
      if (rest.length === 0) {
        onDone();
      } else if (error === null) {
        this.#writeAll(rest, onDone);
      } else {
        setTimeout(() => this.#writeAll(rest, onDone), 50).unref();
      }
    });
  }
}
