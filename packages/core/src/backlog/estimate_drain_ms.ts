import { BACKLOG } from "./constants.ts";
import type { BacklogDrain } from "./types.ts";

type DrainContext = {
  readonly waiting: number;
  /** Tokens that have to drain. */
  readonly excess: number;
  readonly drain: BacklogDrain;
  /** Time in which the whole backlog is due, in ms. */
  readonly dueMs: number;
};

/**
 * Estimates the time until `excess` tokens of a backlog have drained, in ms, by
 * the measured speed, or as if the backlog was completed just when it is due.
 */
export function estimateDrainMs({
  waiting,
  excess,
  drain,
  dueMs,
}: DrainContext): number {
  const spanMs = drain.lastMs - drain.firstMs;
  const drained = drain.lastDrained - drain.firstDrained;
  const isMeasured = spanMs >= BACKLOG.MIN_DRAIN_SPAN_MS && drained > 0;
  const tokensPerMs = isMeasured
    ? drained / spanMs
    : Math.max(waiting, 1) / Math.max(dueMs, 1);
  return Math.ceil(excess / tokensPerMs);
}
