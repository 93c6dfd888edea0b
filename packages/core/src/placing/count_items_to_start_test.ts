import fc from "fast-check";
import { expect, test } from "vitest";
import { countItemsToStart } from "./count_items_to_start.ts";
import { ENTRY_FIXTURE } from "./entry_fixture.ts";

const entry = ENTRY_FIXTURE;

test("workers together start as many items as there are free slots", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 10 }),
      fc.integer({ min: 0, max: 10 }),
      fc.integer({ min: 1, max: 9 }),
      fc.nat(),
      (online, batch, workerCount, round) => {
        const ids = Array.from(
          { length: workerCount },
          (_, index) => `w${index}`,
        );
        const inFlight = { online, batch };
        const started = ids
          .map((id) =>
            countItemsToStart({ entry, open: inFlight }, id, ids, round),
          )
          .reduce((sum, count) => sum + count, 0);
        expect(started).toBe(Math.max(0, entry.slots - online - batch));
      },
    ),
    { seed: 1 },
  );
});

test("a worker that is missing from the list includes itself", () => {
  const inFlight = { online: 0, batch: 0 };
  const starts = countItemsToStart({ entry, open: inFlight }, "w1", [], 0);
  expect(starts).toBe(entry.slots);
});
