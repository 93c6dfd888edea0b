import { expect, test } from "vitest";
import { simulateSilentStore } from "../testing/simulate_silent_store.ts";

/** Time in which operators' changes have to be in force, in ms. */
const BOUND_MS = 2_000;

const CASES = [
  { instances: 12, answered: 6, hasLeases: true, changeMs: 300, changes: 20 },
  { instances: 12, answered: 6, hasLeases: true, changeMs: 5_000, changes: 5 },
  { instances: 12, answered: 6, hasLeases: false, changeMs: 5_000, changes: 2 },
  { instances: 12, answered: 1, hasLeases: true, changeMs: 700, changes: 20 },
  { instances: 12, answered: 1, hasLeases: false, changeMs: 2_000, changes: 3 },
  { instances: 75, answered: 30, hasLeases: true, changeMs: 2_300, changes: 4 },
  { instances: 75, answered: 1, hasLeases: false, changeMs: 3_000, changes: 2 },
];

test.each(CASES)(
  "a change is in force at instances that the store does not answer: $answered of $instances answered, leases $hasLeases, each $changeMs ms",
  async (play) => {
    expect(await simulateSilentStore(play)).toBeLessThan(BOUND_MS);
  },
);
