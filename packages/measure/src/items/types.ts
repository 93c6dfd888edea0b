import type { ItemOrderContext, OrderedItem } from "@gooseberryline/core";

/** Sorts items by the order in which they get slots. */
export type ItemOrder = <Item extends OrderedItem>(
  items: readonly Item[],
  clock: ItemOrderContext,
) => readonly Item[];
