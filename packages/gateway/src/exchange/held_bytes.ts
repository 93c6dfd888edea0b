import { EXCHANGE } from "./constants.ts";

/**
 * Counts the bytes of upstreams' answers that this instance holds until they are
 * whole, all together.
 */
export class HeldBytes {
  #total = 0;

  get total(): number {
    return this.#total;
  }

  /**
   * Takes room for more bytes of an answer that has taken `own` so far; returns
   * false if the answer has grown too long, or all of them have.
   */
  take(own: number, bytes: number): boolean {
    const length = own + bytes;
    const hasRoom =
      length <= EXCHANGE.MIN_ANSWER_BYTES ||
      this.#total + bytes <= EXCHANGE.MAX_HELD_BYTES;
    if (length > EXCHANGE.MAX_ANSWER_BYTES || !hasRoom) {
      return false;
    }
    this.#total += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#total -= bytes;
  }
}
