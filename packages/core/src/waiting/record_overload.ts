import { WAITING } from "./constants.ts";
import type { Overload } from "./types.ts";

/** Weight of the last overload in the usual length. */
const LENGTH_WEIGHT = 0.5;

/**
 * Records a refusal for lack of room. Refusals that follow each other closely are
 * one overload.
 */
export function recordOverload(
  before: Overload | undefined,
  nowMs: number,
): Overload {
  if (before === undefined) {
    return { sinceMs: nowMs, lastMs: nowMs, usualMs: undefined };
  }
  const { sinceMs, lastMs, usualMs } = before;
  if (nowMs - lastMs <= WAITING.OVERLOAD_PAUSE_MS) {
    return { ...before, lastMs: nowMs };
  }
  const lengthMs = lastMs - sinceMs;
  return {
    sinceMs: nowMs,
    lastMs: nowMs,
    usualMs:
      usualMs === undefined
        ? lengthMs
        : usualMs + (lengthMs - usualMs) * LENGTH_WEIGHT,
  };
}
