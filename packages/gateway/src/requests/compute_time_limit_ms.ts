import type { Route } from "@gooseberryline/core";
import type { CallHead } from "../dialect/types.ts";
import { REQUESTS } from "./constants.ts";

/** Returns how long a request may take: by its route, and by its caller, in ms. */
export function computeTimeLimitMs(
  { timeoutMs }: Pick<Route, "timeoutMs">,
  { deadlineMs = REQUESTS.DEFAULT_DEADLINE_MS }: Pick<CallHead, "deadlineMs">,
): number {
  return Math.min(timeoutMs, deadlineMs);
}
