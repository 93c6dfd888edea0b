import type { IncomingMessage } from "node:http";
import { INTAKE_CONSTANTS } from "./constants.ts";
import type { Holding } from "./types.ts";

/** A body that was read, or the reason why it was not. */
export type BodyRead =
  | { readonly kind: "read"; readonly bytes: Buffer }
  | { readonly kind: "too-large" }
  /** The sender left before the body was complete. */
  | { readonly kind: "aborted" }
  /** There is no room for it. */
  | { readonly kind: "crowded" }
  /** Nothing of it has come for too long. */
  | { readonly kind: "stalled" };

const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Reads a body from the moment that its head has come, so that no chunk waits as an
 * object of its own: small ones are copied into blocks. What is read is taken from a
 * holding. What follows a body that won't be read is dropped, so that the next
 * request on the connection is read.
 */
export class BodyIntake {
  readonly #holding: Holding;
  readonly #maxBytes: number;
  /** Bytes that the head announces; undefined in chunks. */
  readonly #announced: number | undefined;
  #parts: Buffer[] = [];
  /** A block that small chunks are copied into, and how much of it is filled. */
  #block: Buffer = NO_BYTES;
  #filled = 0;
  #length = 0;
  #result: BodyRead | undefined;
  /** Called once it is known what became of the body. */
  readonly #onSettled: () => void;
  readonly #waiting: ((read: BodyRead) => void)[] = [];

  constructor(
    req: IncomingMessage,
    holding: Holding,
    maxBytes: number,
    onSettled: () => void,
  ) {
    this.#holding = holding;
    this.#onSettled = onSettled;
    this.#maxBytes = maxBytes;
    const { "content-length": length, "transfer-encoding": coding } =
      req.headers;
    this.#announced = length === undefined ? undefined : Number(length);
    if (coding === undefined && (this.#announced ?? 0) === 0) {
      this.#settle({ kind: "read", bytes: NO_BYTES });
      return;
    }
    if ((this.#announced ?? 0) > maxBytes) {
      this.#settle({ kind: "too-large" });
    }
    req.on("data", (chunk: Buffer) => this.#add(chunk));
    req.on("end", () => this.#finish());
    req.on("error", () => this.#settle({ kind: "aborted" }));
    req.on("close", () => this.#settle({ kind: "aborted" }));
  }

  /** Whether it is known what became of the body. */
  get isSettled(): boolean {
    return this.#result !== undefined;
  }

  read(): Promise<BodyRead> {
    return new Promise((resolve) => {
      if (this.#result === undefined) {
        this.#waiting.push(resolve);
      } else {
        resolve(this.#result);
      }
    });
  }

  /** Reads no more of it. */
  abandon(kind: "crowded" | "stalled" | "aborted"): void {
    this.#settle({ kind });
  }

  #add(chunk: Buffer): void {
    if (this.#result !== undefined) {
      return;
    }
    this.#length += chunk.length;
    this.#holding.recordReceived(chunk.length);
    if (this.#length > this.#maxBytes) {
      this.#settle({ kind: "too-large" });
      return;
    }
    if (!this.#store(chunk)) {
      this.#settle({ kind: "crowded" });
    }
  }

  /** Returns false if there is no room. */
  #store(chunk: Buffer): boolean {
    const { KEPT_CHUNK_BYTES, BLOCK_BYTES, CHUNK_OVERHEAD } = INTAKE_CONSTANTS;
    const isWhole = chunk.length === this.#announced;
    if (isWhole || chunk.length >= KEPT_CHUNK_BYTES) {
      this.#closeBlock();
      this.#parts.push(chunk);
      return this.#holding.take(chunk.length + CHUNK_OVERHEAD);
    }
    if (this.#filled + chunk.length > this.#block.length) {
      this.#closeBlock();
      const size = Math.min(BLOCK_BYTES, this.#announced ?? BLOCK_BYTES);
      if (!this.#holding.take(size + CHUNK_OVERHEAD)) {
        return false;
      }
      this.#block = Buffer.allocUnsafeSlow(size);
    }
    chunk.copy(this.#block, this.#filled);
    this.#filled += chunk.length;
    return true;
  }

  #closeBlock(): void {
    if (this.#filled > 0) {
      this.#parts.push(this.#block.subarray(0, this.#filled));
    }
    this.#block = NO_BYTES;
    this.#filled = 0;
  }

  #finish(): void {
    if (this.#result !== undefined) {
      return;
    }
    this.#closeBlock();
    const [first = NO_BYTES, ...others] = this.#parts;
    const bytes =
      others.length === 0 ? first : Buffer.concat(this.#parts, this.#length);
    this.#settle({ kind: "read", bytes });
  }

  #settle(result: BodyRead): void {
    if (this.#result !== undefined) {
      return;
    }
    this.#result = result;
    this.#parts = [];
    this.#block = NO_BYTES;
    this.#filled = 0;
    this.#waiting.forEach((resolve) => {
      resolve(result);
    });
    this.#onSettled();
  }
}
