import { expect, test } from "vitest";
import { UPSTREAM_LIMITS } from "./constants.ts";
import { listLimitSenders } from "./list_limit_senders.ts";
import { mergeLimitWord } from "./merge_limit_word.ts";

function createIds(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`);
}

test("senders are no more than the excess allows, whatever the fleet's size", () => {
  const counts = [12, 195, 450].map(
    (count) =>
      listLimitSenders(
        "u1",
        { serving: createIds("s", count), running: createIds("r", 4) },
        3,
      ).length,
  );
  expect(counts).toEqual([4, 4, 4]);
});

test("one of several senders runs items", () => {
  const spenders = { serving: createIds("s", 8), running: createIds("r", 4) };
  const senders = listLimitSenders("u1", spenders, 3);
  expect(senders.filter((id) => id.startsWith("r"))).toHaveLength(1);
});

test("a low limit still has a sender", () => {
  const spenders = { serving: ["s1"], running: [] };
  const limit = UPSTREAM_LIMITS.MIN_PER_SECOND;
  expect(listLimitSenders("u1", spenders, limit)).toEqual(["s1"]);
});

test("the newer word counts", () => {
  const known = { perSecond: 3, atMs: 100 };
  const newer = { perSecond: 5, atMs: 200 };
  expect(mergeLimitWord(known, newer, 150)).toBe(newer);
  expect(mergeLimitWord(newer, known, 50)).toBe(newer);
});

test("an answer without a limit lifts it if its request was sent after the limit was read", () => {
  const known = { perSecond: 3, atMs: 100 };
  const lifted = { perSecond: undefined, atMs: 200 };
  expect(mergeLimitWord(known, lifted, 150)).toBe(lifted);
  expect(mergeLimitWord(known, lifted, 50)).toBe(known);
});
