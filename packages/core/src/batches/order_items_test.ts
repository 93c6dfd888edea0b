import { expect, test } from "vitest";
import { orderItems } from "./order_items.ts";

const clock = { nowMs: 10_000, meanRunMs: 5_000 };

function order(
  items: readonly { index: number; dueAtMs: number; ranMs: number }[],
): readonly number[] {
  return orderItems(items, clock).map(({ index }) => index);
}

test("the earliest due goes first", () => {
  const later = { index: 0, dueAtMs: 30_000, ranMs: 0 };
  const sooner = { index: 1, dueAtMs: 20_000, ranMs: 0 };
  expect(order([later, sooner])).toEqual([1, 0]);
});

test("what can't be in time any more waits for what can", () => {
  const late = { index: 0, dueAtMs: 12_000, ranMs: 0 };
  const inTime = { index: 1, dueAtMs: 20_000, ranMs: 0 };
  expect(order([late, inTime])).toEqual([1, 0]);
});

test("one that has run most of its time is not given up", () => {
  const nearlyDone = { index: 0, dueAtMs: 12_000, ranMs: 4_000 };
  const fresh = { index: 1, dueAtMs: 20_000, ranMs: 0 };
  expect(order([fresh, nearlyDone])).toEqual([0, 1]);
});

test("of a job the one that has run goes first", () => {
  const fresh = { index: 0, dueAtMs: 20_000, ranMs: 0 };
  const begun = { index: 1, dueAtMs: 20_000, ranMs: 100 };
  expect(order([fresh, begun])).toEqual([1, 0]);
});
