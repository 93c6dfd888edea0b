import { EXCHANGE } from "./constants.ts";
import type { EarlierAnswer } from "./types.ts";

/**
 * The requests that a connection has answered, the last ones only. An answer bears
 * the id of its request, which all runs of that request share: on a connection that
 * answered one of them, a second copy of that answer looks like the next one's.
 */
export class AnsweredIds {
  /** The latest comes last. */
  readonly #answers = new Map<string, EarlierAnswer>();

  /** Returns how the connection has answered a request before, at best. */
  find(requestId: string): EarlierAnswer {
    return this.#answers.get(requestId) ?? "none";
  }

  /**
   * Records an answer. Successes make room for others, since their requests are
   * seldom run again; returns false if that is not enough, so that the connection has
   * to end before it forgets a request that may be run again.
   */
  add(requestId: string, isSuccess: boolean): boolean {
    if (requestId.length > EXCHANGE.MAX_ANSWERED_ID_LENGTH) {
      return false;
    }
    const hasSucceeded = isSuccess || this.find(requestId) === "success";
    this.#answers.delete(requestId);
    this.#answers.set(requestId, hasSucceeded ? "success" : "failure");
    return this.#answers.size <= EXCHANGE.MAX_ANSWERED_IDS || this.#makeRoom();
  }

  #makeRoom(): boolean {
    const oldest = [...this.#answers].find(
      ([, answer]) => answer === "success",
    );
    return oldest !== undefined && this.#answers.delete(oldest[0]);
  }
}
