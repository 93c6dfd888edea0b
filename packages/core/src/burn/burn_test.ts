import { expect, test } from "vitest";
import type { ConfigDocument } from "../config/types.ts";
import type { CustomerId, ProfileName } from "../ids/types.ts";
import { buildBurnRows } from "./build_burn_rows.ts";
import { mergeBurnRows } from "./merge_burn_rows.ts";
import { recordOutcome } from "./record_outcome.ts";
import type { BurnState } from "./types.ts";

const MINUTE_MS = 60_000;
const document = {
  profiles: { counter: { objective: 0.99 } },
} as unknown as ConfigDocument;

const createOutcome = (isMissed: boolean) => ({
  profile: "counter" as ProfileName,
  customer: "c1" as CustomerId,
  isMissed,
});

const recordOutcomes = (
  count: number,
  missed: number,
  atMs: number,
): BurnState =>
  Array.from({ length: count }, (_, index) => index < missed).reduce(
    (state, isMissed) => recordOutcome(state, createOutcome(isMissed), atMs),
    {} as BurnState,
  );

const findRow = (state: BurnState, window: string, nowMs: number) =>
  buildBurnRows(state, document, nowMs).find((row) => row.window === window);

test("2 of 100 missed under an objective of 0.99 give a burn rate of 2", () => {
  const row = findRow(recordOutcomes(100, 2, 0), "5min", MINUTE_MS);
  expect(row).toMatchObject({ total: 100, missed: 2 });
  expect(row?.burnRate).toBeCloseTo(2);
});

test("a request expires from the short window and stays in the long one", () => {
  const state = recordOutcomes(1, 1, 0);
  expect(findRow(state, "5min", 6 * MINUTE_MS)?.total).toBe(0);
  expect(findRow(state, "1h", 6 * MINUTE_MS)?.total).toBe(1);
});

test("slots of past windows are dropped", () => {
  const days = Array.from({ length: 10 }, (_, day) => day * 86_400_000);
  const state = days.reduce(
    (current, nowMs) => recordOutcome(current, createOutcome(false), nowMs),
    {} as BurnState,
  );
  const [entry] = Object.values(state);
  expect(entry?.windows["3d"]?.length).toBeLessThanOrEqual(4);
});

test("merging adds up the counts of instances", () => {
  const one = buildBurnRows(recordOutcomes(100, 2, 0), document, 0);
  const other = buildBurnRows(recordOutcomes(300, 0, 0), document, 0);
  const row = mergeBurnRows([one, other]).find(({ window }) => window === "1h");
  expect(row).toMatchObject({ total: 400, missed: 2, missedShare: 0.005 });
  expect(row?.burnRate).toBeCloseTo(0.5);
});
