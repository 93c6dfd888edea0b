import { write } from "node:fs";

/** Lines held while the reader is slow; later ones are dropped and counted. */
const MAX_BUFFERED_LINES = 2_000;
const STANDARD_OUTPUT = 1;

/**
 * Writes log lines to standard output without ever waiting for its reader:
 * one write is under way, the lines that come meanwhile are held up to a
 * bound, and a line tells how many were dropped beyond it.
 */
export class LineSink {
  #buffered: string[] = [];
  #dropped = 0;
  #isWriting = false;

  put(line: string): void {
    if (this.#buffered.length >= MAX_BUFFERED_LINES) {
      this.#dropped += 1;
      return;
    }
    this.#buffered.push(line);
    this.#drain();
  }

  #drain(): void {
    if (this.#isWriting || this.#buffered.length === 0) {
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
    const text = this.#buffered.join("");
    const dropped = this.#dropped;
    this.#buffered = [];
    this.#dropped = 0;
    return dropped === 0
      ? text
      : `${text}${JSON.stringify({ event: "log-dropped", lines: dropped })}\n`;
  }

  #writeAll(bytes: Buffer, onDone: () => void): void {
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      if (error !== null && error.code !== "EAGAIN") {
        // Nobody reads the log any more; there is nowhere left to say so.
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
