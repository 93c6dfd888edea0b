import { expect, test } from "vitest";
import { crashLoadFixture } from "./crash_load_fixture.ts";

test("a request that is sent again while few upstreams crash is not blocked by chance", () => {
  const { blocks } = crashLoadFixture.runLoad({
    seed: 1,
    upstreams: 14,
    hotShare: 0,
    repeatShare: 0,
    deadlyPerSecond: 0,
    deadly: "request",
    crashedShare: 0.4257969520986081,
    spreadMs: 297,
    firstMs: 152,
    newsMs: 5,
    endMs: 2_000,
  });
  expect(blocks).toEqual([]);
});
