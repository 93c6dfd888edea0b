import { expect, test } from "vitest";
import { computeGossipIntervalMs } from "./compute_gossip_interval_ms.ts";
import { computeWorkIntervalMs } from "./compute_work_interval_ms.ts";

test("a small fleet sends nothing between its load messages", () => {
  expect(computeWorkIntervalMs(3, 12)).toBeUndefined();
  expect(computeWorkIntervalMs(12, 12)).toBeUndefined();
});

test("news of the own data centre does not age with the rest of the fleet", () => {
  const nearMs = computeGossipIntervalMs(19);
  expect(computeWorkIntervalMs(19, 76)).toBe(nearMs);
  expect(computeWorkIntervalMs(19, 500)).toBe(nearMs);
});
