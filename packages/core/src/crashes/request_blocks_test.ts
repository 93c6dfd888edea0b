import fc from "fast-check";
import { expect, test } from "vitest";
import { CRASHES } from "./constants.ts";
import { crashFixture } from "./crash_fixture.ts";
import { decideCrashBlocks } from "./decide_crash_blocks.ts";
import { holdsBlock } from "./holds_block.ts";
import type { Crash } from "./types.ts";

const {
  NEVER,
  createSuspect,
  createCrash,
  createRequest,
  createSubject,
  listRequests,
  listParts,
} = crashFixture;

test("a request that crashed three upstreams is blocked, its session is not", () => {
  const crashes = [1, 2, 3, 4].map((atMs) =>
    createCrash(atMs, createRequest("r"), createSuspect("a t", "c2")),
  );
  expect(listRequests(crashes)).toEqual(["r"]);
  expect(listParts(crashes)).toEqual([]);
  const [block] = decideCrashBlocks(crashes, NEVER);
  const holds = (key: string) =>
    block !== undefined &&
    holdsBlock(block, createSubject(["a", "s"], "c", key));
  expect(holds("r")).toBe(true);
  expect(holds("other")).toBe(false);
});

test("a request without parts that crashed three upstreams is blocked", () => {
  const suspect = { ...createRequest("r"), parts: [], hasHead: false };
  const crashes = [1, 2, 3].map((atMs) => createCrash(atMs, suspect));
  expect(listRequests(crashes)).toEqual(["r"]);
});

test("one crash beside a sound request of the session does not block its part", () => {
  const crashes = [1, 2, 3].map((atMs) =>
    createCrash(atMs, createRequest("r")),
  );
  const later = [...crashes, createCrash(4, createRequest("sound"))];
  expect(listParts(later)).toEqual([]);
});

test("a part is blocked once others than one request crash under it", () => {
  const keys = ["r", "r", "r", "q", "p"];
  const crashes = keys.map((key, index) =>
    createCrash(index, createRequest(key, `a${index} x`)),
  );
  expect(listParts(crashes.slice(0, 4))).toEqual([]);
  expect(listParts(crashes)).toEqual(["x"]);
});

test("a repeat among three crashes does not delay the block of their part", () => {
  const crashes = ["r", "q", "q"].map((key, index) =>
    createCrash(index, createRequest(key, `a${index} x`)),
  );
  expect(listParts(crashes)).toEqual(["x"]);
});

test("a request that was answered whole since is not blocked", () => {
  const crashes = [1, 2, 3, 4].map((atMs) =>
    createCrash(atMs, createRequest("r")),
  );
  expect(listRequests(crashes, (key) => (key === "r" ? 3 : -1))).toEqual([]);
});

test("two requests that crash upstreams in the same seconds are both blocked", () => {
  const crashes = [
    createCrash(1, createRequest("r"), createRequest("q")),
    ...[2, 4, 7].map((atMs) => createCrash(atMs, createRequest("r"))),
    ...[3, 5, 6].map((atMs) => createCrash(atMs, createRequest("q"))),
  ];
  expect([...listRequests(crashes)].sort()).toEqual(["q", "r"]);
});

test("a request that repeats at once beside others crashes five upstreams at most", () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(30), { minLength: 60, maxLength: 90 }),
      (neighbours) => {
        const crashes: Crash[] = [];
        neighbours.forEach((neighbour, atMs) => {
          if (!listRequests(crashes).includes("r")) {
            const beside = createRequest(`n${neighbour}`, `a n${neighbour}`);
            crashes.push(createCrash(atMs, createRequest("r"), beside));
          }
        });
        expect(crashes.length).toBeLessThanOrEqual(CRASHES.MAX_CRASHES);
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test("a request that crashes upstreams in the middle of its answer is blocked", () => {
  const begun = { ...createRequest("r"), parts: [], hasBegun: true };
  const crashes = [1, 2, 3].map((atMs) => {
    const beside = { ...createRequest(`n${atMs}`), parts: [], hasBegun: true };
    return createCrash(atMs, begun, beside, createSuspect(`a t${atMs}`));
  });
  expect(listRequests(crashes.slice(0, 2))).toEqual([]);
  expect(listRequests(crashes)).toEqual(["r"]);
  expect(listParts(crashes)).toEqual([]);
});

test("what had begun is not suspected where a likely suspect recurs", () => {
  const begun = { ...createRequest("sound"), parts: [], hasBegun: true };
  const crashes = [1, 2, 3].map((atMs) =>
    createCrash(atMs, begun, createRequest("r")),
  );
  expect(listRequests(crashes)).toEqual(["r"]);
});
