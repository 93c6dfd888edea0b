import fc from "fast-check";
import { expect, test } from "vitest";
import { countItemsToStart } from "./count_items_to_start.ts";
import { ENTRY_FIXTURE } from "./entry_fixture.ts";

const entry = ENTRY_FIXTURE;

test("workers together start as many items as there are slots to take", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 10 }),
      fc.integer({ min: 0, max: 10 }),
      fc.integer({ min: 1, max: 9 }),
      fc.nat(),
      fc.integer({ min: 0, max: 9 }),
      (online, batch, workerCount, round, headroom) => {
        const ids = Array.from(
          { length: workerCount },
          (_, index) => `w${index}`,
        );
        const inFlight = { online, batch };
        const started = ids
          .map((id) =>
            countItemsToStart(
              { entry, open: inFlight },
              headroom,
              id,
              ids,
              round,
            ),
          )
          .reduce((sum, count) => sum + count, 0);
        const free = entry.slots - online - batch - headroom;
        expect(started).toBe(Math.max(0, free));
      },
    ),
    { seed: 1 },
  );
});

test("a worker that is missing from the list includes itself", () => {
  const inFlight = { online: 0, batch: 0 };
  const starts = countItemsToStart({ entry, open: inFlight }, 0, "w1", [], 0);
  expect(starts).toBe(entry.slots);
});
