import type { HeldBytes } from "./held_bytes.ts";

/** Holds the body of an answer until it is whole. */
export class AnswerBuffer {
  readonly #held: HeldBytes;
  #chunks: Buffer[] = [];
  #length = 0;

  constructor(held: HeldBytes) {
    this.#held = held;
  }

  /** Returns false if the answer has grown too long to be held. */
  append(chunk: Buffer): boolean {
    if (!this.#held.take(this.#length, chunk.length)) {
      return false;
    }
    this.#length += chunk.length;
    this.#chunks.push(chunk);
    return true;
  }

  /** Returns the body so far. */
  read(): Buffer {
    const [first, ...others] = this.#chunks;
    return first !== undefined && others.length === 0
      ? first
      : Buffer.concat(this.#chunks);
  }

  /**
   * Leaves what is held to the reader of the answer, whose connection `close` ends;
   * returns what is to be called once it has been written out.
   */
  handOver(close: () => void): () => void {
    const bytes = this.#length;
    this.#chunks = [];
    this.#length = 0;
    return this.#held.handOver(bytes, close);
  }

  /** Gives up what is held. */
  drop(): void {
    this.#held.release(this.#length);
    this.#chunks = [];
    this.#length = 0;
  }
}
