import { expect, test } from "vitest";
import { ITEM_ORDERS } from "./item_orders.ts";
import { simulateItems } from "./simulate_items.ts";
import type { OrderOfItems } from "./types.ts";

const SEEDS = [1, 2, 3];

function countInTime(order: OrderOfItems, itemsPerSecond: number): number {
  return SEEDS.map((seed) =>
    simulateItems(order, { seed, itemsPerSecond }),
  ).reduce((sum, count) => sum + count, 0);
}

test("in an overload with bursts more callers get their items in time", () => {
  const before = countInTime(ITEM_ORDERS["earliest-due-first"], 6);
  expect(countInTime(ITEM_ORDERS.product, 6)).toBeGreaterThan(before * 1.15);
});

test("without overload none is late", () => {
  const before = countInTime(ITEM_ORDERS["earliest-due-first"], 2);
  expect(countInTime(ITEM_ORDERS.product, 2)).toBeGreaterThanOrEqual(before);
});
