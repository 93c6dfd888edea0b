import { BATCHES } from "./constants.ts";

/** Number of a worker's items by state at a point in time. */
type ItemCounts = {
  readonly running: number;
  /** Items that are waiting for a free slot. */
  readonly waiting: number;
};

/**
 * Updates the moving average of slots available to a worker's items, sampled at
 * equal intervals. While no items wait, the number of running items is only a
 * lower bound, so the average can only rise. Returns undefined until items have
 * waited.
 */
export function updateMeanSlots(
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
