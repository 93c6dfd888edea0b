import { BATCHES } from "./constants.ts";

/** A worker's items at one moment. */
type ItemCounts = {
  readonly running: number;
  /** Items that would start if there were room. */
  readonly waiting: number;
};

/**
 * Measures how many slots a worker's items have on average, in steps of equal
 * time. What runs tells the room only while more items wait; else there may be
 * more of it. Undefined until items have waited.
 */
export function measureSlots(
  previous: number | undefined,
  { running, waiting }: ItemCounts,
): number | undefined {
  if (waiting === 0) {
    return previous === undefined ? undefined : Math.max(previous, running);
  }
  return previous === undefined
    ? running
    : previous + (running - previous) * BATCHES.SLOTS_SMOOTHING_WEIGHT;
}
