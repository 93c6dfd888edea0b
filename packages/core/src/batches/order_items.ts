/** An item that waits to run, or runs. */
type OrderedItem = {
  readonly index: number;
  /** Unix ms. */
  readonly dueAtMs: number;
  /** Time that it has run so far, in ms. */
  readonly ranMs: number;
};

/** What is known of the present and of items in general. */
type ItemClock = {
  /** Unix ms. */
  readonly nowMs: number;
  /** Mean time that an item runs, in ms. */
  readonly meanRunMs: number;
};

/**
 * Orders items by what they should get first. Answers the load in which not
 * all can be done in time: those that still can go first, earliest due first;
 * what is late anyway gets what they leave. Of a job, items that have run go
 * before fresh ones, so that they free their memory soon.
 */
export function orderItems<Item extends OrderedItem>(
  items: readonly Item[],
  { nowMs, meanRunMs }: ItemClock,
): readonly Item[] {
  const isLate = ({ dueAtMs, ranMs }: Item): boolean =>
    nowMs + Math.max(0, meanRunMs - ranMs) > dueAtMs;
  return items
    .map((item) => ({ item, late: isLate(item) ? 1 : 0 }))
    .sort(
      (a, b) =>
        a.late - b.late ||
        a.item.dueAtMs - b.item.dueAtMs ||
        b.item.ranMs - a.item.ranMs ||
        a.item.index - b.item.index,
    )
    .map(({ item }) => item);
}
