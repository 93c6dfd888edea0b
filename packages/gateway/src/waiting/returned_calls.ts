import { WAITING } from "@gooseberryline/core";
import { ROOMS } from "./constants.ts";

/** The longest time that callers of a route allowed, in ms. */
type LongestTime = {
  /** Since `sinceMs`, and in the window before. */
  readonly nowMs: number;
  readonly beforeMs: number;
  readonly sinceMs: number;
};

/**
 * Tells callers that come again by the time that they still wait: it is shorter
 * than what the callers of the route allowed lately.
 */
export class ReturnedCalls {
  readonly #longest = new Map<string, LongestTime>();

  /**
   * `deadlineMs` is the time that the caller allows, in ms, whatever the route
   * does; one that names none is not taken to return.
   */
  isReturned(
    route: string,
    deadlineMs: number | undefined,
    nowMs: number,
  ): boolean {
    if (deadlineMs === undefined) {
      return false;
    }
    const known = this.#findCurrent(route, nowMs);
    const longest = { ...known, nowMs: Math.max(known.nowMs, deadlineMs) };
    this.#longest.set(route, longest);
    const longestMs = Math.max(longest.nowMs, longest.beforeMs);
    return deadlineMs < longestMs * WAITING.RETURNED_LIMIT_SHARE;
  }

  #findCurrent(route: string, nowMs: number): LongestTime {
    const known = this.#longest.get(route);
    const ageMs = nowMs - (known?.sinceMs ?? Number.NEGATIVE_INFINITY);
    if (known === undefined || ageMs >= 2 * ROOMS.LONGEST_WINDOW_MS) {
      return { nowMs: 0, beforeMs: 0, sinceMs: nowMs };
    }
    return ageMs < ROOMS.LONGEST_WINDOW_MS
      ? known
      : { nowMs: 0, beforeMs: known.nowMs, sinceMs: nowMs };
  }
}
