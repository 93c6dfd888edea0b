import type { ItemClock, OrderedItem } from "@gooseberryline/core";

/** Sorts items by the order in which they get slots. */
export type ItemOrder = <Item extends OrderedItem>(
  items: readonly Item[],
  clock: ItemClock,
) => readonly Item[];
