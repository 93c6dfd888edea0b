import type { EventLog } from "@gooseberryline/core";
import { describeError } from "../describe_error.ts";
import type { WaitingItem } from "./types.ts";

/** Logs that a run of an item could not be started at an upstream. */
export function logUnstarted(
  log: EventLog,
  { jobId, item }: WaitingItem,
  upstream: string,
  error: unknown,
): void {
  const reason = describeError(error);
  log.error("item-not-started", { jobId, itemId: item.id, upstream, reason });
}
