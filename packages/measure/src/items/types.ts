import type { ItemClock, OrderedItem } from "@gooseberryline/core";

/** Decides which items get slots first. */
export type OrderOfItems = <Item extends OrderedItem>(
  items: readonly Item[],
  clock: ItemClock,
) => readonly Item[];
