import fc from "fast-check";
import { expect, test } from "vitest";
import { countItemsToYield } from "./count_items_to_yield.ts";
import { ENTRY_FIXTURE } from "./entry_fixture.ts";

const entry = ENTRY_FIXTURE;

test("workers together withdraw exactly the excess items", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.array(fc.integer({ min: 0, max: 6 }), { minLength: 1, maxLength: 6 }),
      (online, items) => {
        const workers = items.map((count, index) => ({
          workerId: `w${index}`,
          items: count,
        }));
        const batch = items.reduce((sum, count) => sum + count, 0);
        const inFlight = { online, batch };
        const withdrawn = workers
          .map(({ workerId }) =>
            countItemsToYield({ entry, open: inFlight }, workerId, workers),
          )
          .reduce((sum, count) => sum + count, 0);
        const excess = Math.max(0, online + batch - entry.slots);
        expect(withdrawn).toBe(Math.min(batch, excess));
      },
    ),
    { seed: 1 },
  );
});

test("no item is withdrawn without online requests", () => {
  const inFlight = { online: 0, batch: 12 };
  const workers = [{ workerId: "w1", items: 12 }];
  expect(countItemsToYield({ entry, open: inFlight }, "w1", workers)).toBe(0);
});
