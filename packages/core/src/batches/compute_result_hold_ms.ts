import { BATCHES } from "./constants.ts";
import type { FinishedResults } from "./types.ts";

/**
 * Returns how long finished results wait for others of their job, in ms, so that
 * one commit lists them all. Those that end the job, are due soon or fill a commit
 * are listed at once.
 */
export function computeResultHoldMs({
  finished,
  open,
  maxInCommit,
  dueInMs,
}: FinishedResults): number {
  const isWorthWaiting =
    finished < open &&
    finished < maxInCommit &&
    dueInMs > BATCHES.RESULT_DUE_MARGIN_MS;
  return isWorthWaiting ? BATCHES.RESULT_HOLD_MS : 0;
}
