import TinyQueue from "tinyqueue";
import { BATCHES } from "./constants.ts";
import type { ItemClock, OrderedItem } from "./types.ts";

const FEASIBILITY = { feasible: 0, skipped: 1, overdue: 2 } as const;
type Feasibility = (typeof FEASIBILITY)[keyof typeof FEASIBILITY];

/**
 * Orders items by what they should get first. Answers the load in which not
 * all can be done in time: first those that can, then those that would keep
 * others from it, then what is late anyway; each by due time. Of a job, items
 * that have run go before fresh ones, so that they free their memory soon.
 */
export function orderItems<Item extends OrderedItem>(
  items: readonly Item[],
  clock: ItemClock,
): readonly Item[] {
  const byDue = items.toSorted(
    (a, b) => a.dueAtMs - b.dueAtMs || b.ranMs - a.ranMs || a.index - b.index,
  );
  const feasibility = decideFeasibility(byDue, clock);
  const getFeasibility = (item: Item): Feasibility =>
    feasibility.get(item) ?? FEASIBILITY.feasible;
  return byDue.toSorted((a, b) => getFeasibility(a) - getFeasibility(b));
}

/**
 * Passes over as few items as possible so that the others are done in time:
 * going by due time, whenever the work so far is more than the slots can do,
 * the item with the most left to do is dropped (J. M. Moore, "An n job, one
 * machine sequencing algorithm for minimizing the number of late jobs", 1968).
 */
function decideFeasibility<Item extends OrderedItem>(
  byDue: readonly Item[],
  { nowMs, meanRunMs, slots }: ItemClock,
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
      const isOverdue = remainingMs > availableMs;
      feasibility.set(
        item,
        isOverdue ? FEASIBILITY.overdue : FEASIBILITY.skipped,
      );
      return;
    }
    accepted.push(item);
    workMs += remainingMs;
    const capacityMs = (slots ?? Number.POSITIVE_INFINITY) * availableMs;
    while (workMs > capacityMs && accepted.length > 1) {
      const rejected = accepted.pop();
      if (rejected !== undefined) {
        feasibility.set(rejected, FEASIBILITY.skipped);
        workMs -= estimateRemainingMs(rejected);
      }
    }
  });
  return feasibility;
}
