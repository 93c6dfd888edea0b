import { inspect } from "node:util";
import type { EventLog } from "@gooseberryline/core";

/**
 * Records what nobody caught: `origin` tells an exception from a rejected promise.
 * The process goes on, as what is lost is one step, and an end would cut all else.
 */
export function recordUncaught(
  log: Pick<EventLog, "error">,
  thrown: unknown,
  origin: string,
): void {
  const reason =
    thrown instanceof Error
      ? (thrown.stack ?? thrown.message)
      : inspect(thrown);
  log.error("uncaught", { origin, reason });
}
