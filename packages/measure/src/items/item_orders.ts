import {
  type ItemOrderContext,
  type OrderedItem,
  orderItems,
} from "@gooseberryline/core";
import type { ItemOrder } from "./types.ts";

function rankLate(
  { dueAtMs, ranMs }: OrderedItem,
  { nowMs, meanRunMs }: ItemOrderContext,
): number {
  return nowMs + Math.max(0, meanRunMs - ranMs) > dueAtMs ? 1 : 0;
}

/** The product's item order and alternatives to compare it with. */
export const ITEM_ORDERS = {
  product: orderItems,
  "earliest-due-first": (items, clock) =>
    items.toSorted(
      (a, b) =>
        rankLate(a, clock) - rankLate(b, clock) ||
        a.dueAtMs - b.dueAtMs ||
        b.ranMs - a.ranMs ||
        a.index - b.index,
    ),
  "least-left-first": (items, clock) =>
    items.toSorted(
      (a, b) =>
        rankLate(a, clock) - rankLate(b, clock) ||
        b.ranMs - a.ranMs ||
        a.dueAtMs - b.dueAtMs,
    ),
  "as-they-come": (items) => items.toSorted((a, b) => a.index - b.index),
} as const satisfies Readonly<Record<string, ItemOrder>>;
