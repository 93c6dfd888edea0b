import type { IncomingMessage } from "node:http";
import { HttpRefusal } from "./http_refusal.ts";
import { readBody } from "./read_body.ts";

const DEFAULT_BYTES = 268_435_456;
const RETRY_AFTER_MS = 1_000;

/**
 * Bounds the bytes of all bodies in hand. A body is held until its request
 * has ended, since it may have to be sent again.
 */
export class BodyBudget {
  #leftBytes: number;

  constructor(bytes = DEFAULT_BYTES) {
    this.#leftBytes = bytes;
  }

  /** Reads a body, of at most `limitBytes`, and holds it while it is used. */
  async hold<Result>(
    req: IncomingMessage,
    limitBytes: number,
    use: (body: Buffer) => Promise<Result>,
  ): Promise<Result> {
    const announced = req.headers["content-length"];
    const size = Math.min(Number(announced ?? limitBytes), limitBytes);
    if (size > this.#leftBytes) {
      throw new HttpRefusal(503, "too many bodies are in hand", {
        code: "no_capacity",
        step: "admit",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.#leftBytes -= size;
    try {
      return await use(await readBody(req, limitBytes));
    } finally {
      this.#leftBytes += size;
    }
  }
}
