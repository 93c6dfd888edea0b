import { expect, test } from "vitest";
import { computeAdmittedPart } from "./compute_admitted_part.ts";

const LIMIT = { ratePerSecond: 100, burst: 50 };
const LAG_MS = 100;

// Guards against refusals within the burst because some peer is asked for a little.
test("tokens that the others can't take are not kept from a customer", () => {
  [1, 10, 40].forEach((tokens) => {
    const asked = { perSecond: tokens * 10, lagMs: LAG_MS };
    expect(computeAdmittedPart(tokens, LIMIT, asked)).toBe(1);
  });
});

test("tokens that the others may all take are left to them in part", () => {
  const asked = { perSecond: 1_000, lagMs: LAG_MS };
  expect(computeAdmittedPart(1, LIMIT, asked)).toBe(0);
  expect(computeAdmittedPart(40, LIMIT, asked)).toBeCloseTo(0.175);
});
