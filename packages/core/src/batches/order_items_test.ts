import { expect, test } from "vitest";
import { orderItems } from "./order_items.ts";

const clock = { nowMs: 10_000, meanRunMs: 5_000, slots: undefined };

function order(
  items: readonly { index: number; dueAtMs: number; ranMs: number }[],
  slots?: number,
): readonly number[] {
  return orderItems(items, { ...clock, slots }).map(({ index }) => index);
}

test("the item with the earliest due time goes first", () => {
  const later = { index: 0, dueAtMs: 30_000, ranMs: 0 };
  const sooner = { index: 1, dueAtMs: 20_000, ranMs: 0 };
  expect(order([later, sooner])).toEqual([1, 0]);
});

test("an item that cannot finish in time goes after one that can", () => {
  const infeasible = { index: 0, dueAtMs: 12_000, ranMs: 0 };
  const inTime = { index: 1, dueAtMs: 20_000, ranMs: 0 };
  expect(order([infeasible, inTime])).toEqual([1, 0]);
});

test("an item that has run most of its time is not skipped", () => {
  const nearlyDone = { index: 0, dueAtMs: 12_000, ranMs: 4_000 };
  const fresh = { index: 1, dueAtMs: 20_000, ranMs: 0 };
  expect(order([fresh, nearlyDone])).toEqual([0, 1]);
});

test("among items with the same due time, one that has run goes first", () => {
  const fresh = { index: 0, dueAtMs: 20_000, ranMs: 0 };
  const begun = { index: 1, dueAtMs: 20_000, ranMs: 100 };
  expect(order([fresh, begun])).toEqual([1, 0]);
});

test("one item is skipped for two when slots are scarce", () => {
  const fresh = { index: 0, dueAtMs: 17_000, ranMs: 0 };
  const begun = { index: 1, dueAtMs: 18_000, ranMs: 2_000 };
  const next = { index: 2, dueAtMs: 18_000, ranMs: 1_500 };
  expect(order([fresh, begun, next], 1)).toEqual([1, 2, 0]);
  expect(order([fresh, begun, next], 3)).toEqual([0, 1, 2]);
});

test("skipped items go before items that cannot finish in time", () => {
  const infeasible = { index: 0, dueAtMs: 12_000, ranMs: 0 };
  const skipped = { index: 1, dueAtMs: 17_000, ranMs: 0 };
  const inTime = { index: 2, dueAtMs: 18_000, ranMs: 1_000 };
  expect(order([infeasible, skipped, inTime], 0.5)).toEqual([2, 1, 0]);
});
