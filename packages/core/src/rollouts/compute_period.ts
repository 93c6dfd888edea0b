import { ROLLOUTS } from "./constants.ts";

/** Computes the number of the period since the order, `elapsedMs` after it. */
export function computePeriod(elapsedMs: number, durationMs: number): number {
  const periodMs = Math.max(
    ROLLOUTS.MIN_PERIOD_MS,
    durationMs / ROLLOUTS.PERIODS,
  );
  // Long after the deadline it goes on as one, so that messages stay short.
  return Math.min(
    ROLLOUTS.PERIODS * 2,
    Math.max(0, Math.floor(elapsedMs / periodMs)),
  );
}
