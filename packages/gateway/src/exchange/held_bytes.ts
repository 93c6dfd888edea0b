import { chooseYielder } from "@gooseberryline/core";
import { EXCHANGE } from "./constants.ts";

/** An answer that has been handed over and is not written out yet. */
type Unread = {
  readonly bytes: number;
  /** Closes the connection of its reader. */
  readonly close: () => void;
};

/**
 * Counts the bytes of upstreams' answers that this instance holds, all together:
 * until they are whole, and then until their readers have taken them. Those that
 * are unread for longest give way to others.
 */
export class HeldBytes {
  readonly #limit: number;
  readonly #onYield: (bytes: number) => void;
  #total = 0;
  /** Bytes of those that are unread. */
  #unreadBytes = 0;
  /** The one that was handed over first comes first. */
  readonly #unread = new Set<Unread>();

  constructor(
    limit: number = EXCHANGE.MAX_HELD_BYTES,
    onYield: (bytes: number) => void = () => undefined,
  ) {
    this.#limit = limit;
    this.#onYield = onYield;
  }

  get total(): number {
    return this.#total;
  }

  /**
   * Takes room for more bytes of an answer that has taken `own` so far; returns
   * false if the answer has grown too long, or all of them have.
   */
  take(own: number, bytes: number): boolean {
    const length = own + bytes;
    this.#makeRoom(bytes);
    const hasRoom =
      length <= EXCHANGE.MIN_ANSWER_BYTES ||
      this.#total + bytes <= this.#limit ||
      // A single one is served whatever the limit is.
      this.#total === own;
    if (length > EXCHANGE.MAX_ANSWER_BYTES || !hasRoom) {
      return false;
    }
    this.#total += bytes;
    return true;
  }

  /**
   * Keeps the room of an answer until it has been written out; returns what is to be
   * called then.
   */
  handOver(bytes: number, close: () => void): () => void {
    const unread = { bytes, close };
    this.#unread.add(unread);
    this.#unreadBytes += bytes;
    return () => {
      this.#remove(unread);
    };
  }

  /** Gives up the answer that is unread for longest; false if there is none. */
  yieldOne(): boolean {
    const [oldest] = this.#unread;
    return this.#yield(oldest);
  }

  release(bytes: number): void {
    this.#total -= bytes;
  }

  /**
   * Gives up unread answers if that makes the room that is missing; small ones go
   * last, and empty ones stay.
   */
  #makeRoom(bytes: number): void {
    const readMissing = (): number => this.#total + bytes - this.#limit;
    while (readMissing() > 0 && this.#unreadBytes >= readMissing()) {
      const chosen = chooseYielder(this.#unread);
      const isEmpty = chosen?.bytes === 0;
      this.#yield(
        isEmpty ? [...this.#unread].find((one) => one.bytes > 0) : chosen,
      );
    }
  }

  /** Returns false if there is none. */
  #yield(unread: Unread | undefined): boolean {
    if (unread === undefined) {
      return false;
    }
    this.#remove(unread);
    this.#onYield(unread.bytes);
    unread.close();
    return true;
  }

  #remove(unread: Unread): void {
    if (this.#unread.delete(unread)) {
      this.#unreadBytes -= unread.bytes;
      this.release(unread.bytes);
    }
  }
}
