import TinyQueue from "tinyqueue";
import { BATCHES } from "./constants.ts";
import type { ItemClock, OrderedItem } from "./types.ts";

const CHANCES = { inTime: 0, passedOver: 1, late: 2 } as const;
type Chance = (typeof CHANCES)[keyof typeof CHANCES];

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
  const chances = decideChances(byDue, clock);
  const rate = (item: Item): Chance => chances.get(item) ?? CHANCES.inTime;
  return byDue.toSorted((a, b) => rate(a) - rate(b));
}

/**
 * Passes over as few items as possible so that the others are done in time:
 * going by due time, whenever the work so far is more than the slots can do,
 * the item with the most left to do is dropped (J. M. Moore, "An n job, one
 * machine sequencing algorithm for minimizing the number of late jobs", 1968).
 */
function decideChances<Item extends OrderedItem>(
  byDue: readonly Item[],
  { nowMs, meanRunMs, slots }: ItemClock,
): ReadonlyMap<Item, Chance> {
  const chances = new Map<Item, Chance>();
  const countLeftMs = ({ ranMs }: Item): number =>
    Math.max(BATCHES.LEAST_RUN_MS, meanRunMs - ranMs);
  const chosen = new TinyQueue<Item>(
    [],
    (a, b) => countLeftMs(b) - countLeftMs(a) || b.dueAtMs - a.dueAtMs,
  );
  let workMs = 0;
  byDue.forEach((item) => {
    const timeMs = item.dueAtMs - nowMs;
    const leftMs = countLeftMs(item);
    if (leftMs * BATCHES.RUN_STRETCH > timeMs) {
      const isLate = leftMs > timeMs;
      chances.set(item, isLate ? CHANCES.late : CHANCES.passedOver);
      return;
    }
    chosen.push(item);
    workMs += leftMs;
    const roomMs = (slots ?? Number.POSITIVE_INFINITY) * timeMs;
    while (workMs > roomMs && chosen.length > 1) {
      const dropped = chosen.pop();
      if (dropped !== undefined) {
        chances.set(dropped, CHANCES.passedOver);
        workMs -= countLeftMs(dropped);
      }
    }
  });
  return chances;
}
