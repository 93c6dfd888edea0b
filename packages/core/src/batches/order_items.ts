import TinyQueue from "tinyqueue";
import { BATCHES } from "./constants.ts";
import type { ItemOrderContext, OrderedItem } from "./types.ts";

const FEASIBILITY = { feasible: 0, skipped: 1, infeasible: 2 } as const;
type Feasibility = (typeof FEASIBILITY)[keyof typeof FEASIBILITY];

/**
 * Orders items by their priority for slots. Under overload, items that can
 * finish in time come first, then items that would make others miss their due
 * time, then items that will miss theirs anyway, each group by due time. Within
 * a job, items that have already run come first, so that their memory is freed
 * soon.
 */
export function orderItems<Item extends OrderedItem>(
  items: readonly Item[],
  context: ItemOrderContext,
): readonly Item[] {
  const byDue = items.toSorted(
    (a, b) => a.dueAtMs - b.dueAtMs || b.ranMs - a.ranMs || a.index - b.index,
  );
  const feasibility = decideFeasibility(byDue, context);
  const getFeasibility = (item: Item): Feasibility =>
    feasibility.get(item) ?? FEASIBILITY.feasible;
  return byDue.toSorted((a, b) => getFeasibility(a) - getFeasibility(b));
}

/**
 * Skips as few items as possible so that the others finish in time. Accepts
 * items by due time and, whenever the accepted work exceeds the capacity of the
 * slots, skips the item with the longest remaining time (J. M. Moore, "An n
 * job, one machine sequencing algorithm for minimizing the number of late
 * jobs", 1968).
 */
function decideFeasibility<Item extends OrderedItem>(
  byDue: readonly Item[],
  { nowMs, meanRunMs, slots }: ItemOrderContext,
): ReadonlyMap<Item, Feasibility> {
  const feasibility = new Map<Item, Feasibility>();
  const estimateRemainingMs = ({ ranMs }: Item): number =>
    Math.max(BATCHES.MIN_REMAINING_RUN_MS, meanRunMs - ranMs);
  const accepted = new TinyQueue<Item>(
    [],
    (a, b) =>
      estimateRemainingMs(b) - estimateRemainingMs(a) || b.dueAtMs - a.dueAtMs,
  );
  let workMs = 0;
  byDue.forEach((item) => {
    const availableMs = item.dueAtMs - nowMs;
    const remainingMs = estimateRemainingMs(item);
    if (remainingMs * BATCHES.RUN_TIME_FACTOR > availableMs) {
      const isInfeasible = remainingMs > availableMs;
      feasibility.set(
        item,
        isInfeasible ? FEASIBILITY.infeasible : FEASIBILITY.skipped,
      );
      return;
    }
    accepted.push(item);
    workMs += remainingMs;
    const capacityMs = (slots ?? Number.POSITIVE_INFINITY) * availableMs;
    while (workMs > capacityMs && accepted.length > 1) {
      const skippedItem = accepted.pop();
      if (skippedItem !== undefined) {
        feasibility.set(skippedItem, FEASIBILITY.skipped);
        workMs -= estimateRemainingMs(skippedItem);
      }
    }
  });
  return feasibility;
}
