import { BATCHES } from "./constants.ts";
import type { ItemOrderContext, OrderedItem } from "./types.ts";

/**
 * Returns whether an item has time to wait for a slot that online requests are
 * not likely to need.
 */
export function canItemWait(
  { dueAtMs, ranMs }: Pick<OrderedItem, "dueAtMs" | "ranMs">,
  { nowMs, meanRunMs }: Pick<ItemOrderContext, "nowMs" | "meanRunMs">,
): boolean {
  const remainingMs = Math.max(BATCHES.MIN_REMAINING_RUN_MS, meanRunMs - ranMs);
  return dueAtMs - nowMs > remainingMs * BATCHES.WAIT_FACTOR;
}
