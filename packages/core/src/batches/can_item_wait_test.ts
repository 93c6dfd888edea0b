import { expect, test } from "vitest";
import { canItemWait } from "./can_item_wait.ts";

const pace = { nowMs: 1_000, meanRunMs: 4_000 };

// Guards against items that never start while every slot has its headroom.
test("an item waits for headroom only while there is time for its run", () => {
  expect(canItemWait({ dueAtMs: 19_000, ranMs: 0 }, pace)).toBe(true);
  expect(canItemWait({ dueAtMs: 12_000, ranMs: 0 }, pace)).toBe(false);
  expect(canItemWait({ dueAtMs: 12_000, ranMs: 3_000 }, pace)).toBe(true);
  expect(canItemWait({ dueAtMs: 500, ranMs: 9_000 }, pace)).toBe(false);
});
