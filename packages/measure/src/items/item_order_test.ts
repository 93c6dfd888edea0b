import { expect, test } from "vitest";
import { ITEM_ORDERS } from "./item_orders.ts";
import { simulateItems } from "./simulate_items.ts";
import type { ItemOrder } from "./types.ts";

const SEEDS = [1, 2, 3];

function countItemsInTime(order: ItemOrder, itemsPerSecond: number): number {
  return SEEDS.map((seed) =>
    simulateItems(order, { seed, itemsPerSecond }),
  ).reduce((sum, count) => sum + count, 0);
}

test("under overload with bursts, more items complete in time", () => {
  const baseline = countItemsInTime(ITEM_ORDERS["earliest-due-first"], 6);
  expect(countItemsInTime(ITEM_ORDERS.product, 6)).toBeGreaterThan(
    baseline * 1.15,
  );
});

test("without overload, no fewer items complete in time", () => {
  const baseline = countItemsInTime(ITEM_ORDERS["earliest-due-first"], 2);
  expect(countItemsInTime(ITEM_ORDERS.product, 2)).toBeGreaterThanOrEqual(
    baseline,
  );
});
