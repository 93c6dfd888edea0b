import { createHash } from "node:crypto";

/** What the repeats of a request have in common. */
type RequestContent = {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Name of the customer; empty on a public route. */
  readonly customer: string;
  readonly body: Buffer;
};

const BRIEF_LENGTH = 16;
const DIGEST_LENGTH = 32;

/**
 * Identifies a request by its method, path, customer and body, so that repeats
 * have equal keys. Hashes only when it is asked to: a body of several megabytes
 * takes milliseconds. The hash resists collisions, since a customer chooses the
 * body.
 */
export class RequestKey {
  readonly #content: RequestContent;
  #brief: string | undefined;
  #full: string | undefined;

  constructor(content: RequestContent) {
    this.#content = content;
  }

  /** Whether the whole key was needed, since the request was once suspected. */
  get isHashed(): boolean {
    return this.#full !== undefined;
  }

  get full(): string {
    this.#full ??=
      this.#getBrief() + hashHex(this.#content.body, DIGEST_LENGTH);
    return this.#full;
  }

  /** Returns whether a key is this one; reads the body only if it may be. */
  matches(key: string): boolean {
    return key.startsWith(this.#getBrief()) && key === this.full;
  }

  /** The hash of all but the bytes of the body; the key begins with it. */
  #getBrief(): string {
    this.#brief ??= this.#hashBrief();
    return this.#brief;
  }

  #hashBrief(): string {
    const { method, path, customer, body } = this.#content;
    const text = JSON.stringify([method, path, customer, body.length]);
    return hashHex(text, BRIEF_LENGTH);
  }
}

function hashHex(data: string | Buffer, length: number): string {
  return createHash("sha256").update(data).digest("hex").slice(0, length);
}
