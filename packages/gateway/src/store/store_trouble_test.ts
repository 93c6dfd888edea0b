import { expect, test } from "vitest";
import { simulateStoreTrouble } from "../testing/simulate_store_trouble.ts";
import type { StoreTrouble } from "../testing/types.ts";

/** Time in which operators' changes have to be in force, in ms. */
const BOUND_MS = 2_000;
const LONG_MS = 100_000;

type Silence = {
  readonly instances: number;
  readonly sound: number;
  readonly hasLeases: boolean;
  /** Time between two changes, in ms. */
  readonly changeMs: number;
  readonly changes: number;
};

const SILENCES: readonly Silence[] = [
  { instances: 12, sound: 6, hasLeases: true, changeMs: 300, changes: 20 },
  { instances: 12, sound: 6, hasLeases: true, changeMs: 5_000, changes: 5 },
  { instances: 12, sound: 6, hasLeases: false, changeMs: 5_000, changes: 2 },
  { instances: 12, sound: 1, hasLeases: true, changeMs: 700, changes: 20 },
  { instances: 12, sound: 1, hasLeases: false, changeMs: 2_000, changes: 3 },
  { instances: 75, sound: 30, hasLeases: true, changeMs: 2_300, changes: 4 },
  { instances: 75, sound: 1, hasLeases: false, changeMs: 3_000, changes: 2 },
];

test.each(SILENCES)(
  "a change is in force at instances that the store does not answer: $sound of $instances answered, leases $hasLeases, each $changeMs ms",
  async ({ changeMs, changes, ...fleet }) => {
    const changesAtMs = Array.from(
      { length: changes },
      (_, index) => index * changeMs,
    );
    const silence = { trouble: "silent", troubleMs: LONG_MS } as const;
    const lagMs = await simulateStoreTrouble({
      ...fleet,
      ...silence,
      changesAtMs,
    });
    expect(lagMs).toBeLessThan(BOUND_MS);
  },
);

const TROUBLES: readonly StoreTrouble[] = [
  "silent",
  "busy",
  "reset",
  "slow",
  "lossy",
];
const TROUBLE_MS = 6_000;
/** When the record changes, from the beginning of the trouble, in ms. */
const MOMENTS = {
  before: -2,
  "at its beginning": 0,
  "in the middle": 2_600,
  "at the return": TROUBLE_MS,
  after: TROUBLE_MS + 900,
};

const CELLS = TROUBLES.flatMap((trouble) =>
  Object.entries(MOMENTS).flatMap(([moment, atMs]) =>
    [true, false].map((hasLeases) => ({ trouble, moment, atMs, hasLeases })),
  ),
);

test.each(CELLS)(
  "a change $moment is in force in time where the store is $trouble, leases $hasLeases",
  async ({ trouble, atMs, hasLeases }) => {
    const lagMs = await simulateStoreTrouble({
      instances: 12,
      sound: 4,
      hasLeases,
      trouble,
      troubleMs: TROUBLE_MS,
      changesAtMs: [atMs],
    });
    expect(lagMs).toBeLessThan(BOUND_MS);
  },
);
