import type { IncomingMessage } from "node:http";
import { HttpRefusal } from "./http_refusal.ts";
import { readBody } from "./read_body.ts";

const DEFAULT_BUDGET_BYTES = 268_435_456;
const RETRY_AFTER_MS = 1_000;

/**
 * Limits the total size of the request bodies in memory. A body is retained
 * until its request has ended, since a retry sends it again.
 */
export class BodyBudget {
  #availableBytes: number;

  constructor(bytes = DEFAULT_BUDGET_BYTES) {
    this.#availableBytes = bytes;
  }

  /**
   * Reads a body of at most `limitBytes` and passes it to `use`. Until that
   * settles, the budget is reduced by the content length, or by `limitBytes` if
   * the request states none. Throws a refusal if the budget is exhausted.
   */
  async handleBody<Result>(
    req: IncomingMessage,
    limitBytes: number,
    use: (body: Buffer) => Promise<Result>,
  ): Promise<Result> {
    const contentLength = req.headers["content-length"];
    const size = Math.min(Number(contentLength ?? limitBytes), limitBytes);
    if (size > this.#availableBytes) {
      throw new HttpRefusal(503, "too many bodies are in hand", {
        code: "no_capacity",
        step: "admit",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.#availableBytes -= size;
    try {
      return await use(await readBody(req, limitBytes));
    } finally {
      this.#availableBytes += size;
    }
  }
}
