import fc from "fast-check";
import { expect, test } from "vitest";
import { crashFixture } from "./crash_fixture.ts";
import { decideCrashBlocks } from "./decide_crash_blocks.ts";
import { holdsBlock } from "./holds_block.ts";
import { mergeCrash } from "./merge_crash.ts";
import { mergeCrashBlock } from "./merge_crash_block.ts";
import type { Crash, CrashBlock, PromptBlock } from "./types.ts";

const {
  NEVER,
  createSuspect,
  createCrash,
  createSubject,
  listParts,
  listBlocks,
} = crashFixture;

test("two crashes block nothing", () => {
  expect(
    listParts([
      createCrash(1, createSuspect("x")),
      createCrash(2, createSuspect("x")),
    ]),
  ).toEqual([]);
});

test("the third crash blocks the part that all three have", () => {
  const crashes = [
    createCrash(1, createSuspect("a x")),
    createCrash(2, createSuspect("b x")),
    createCrash(3, createSuspect("a x")),
  ];
  expect(listParts(crashes)).toEqual(["x"]);
});

test("a first part with sound answers since is not blocked", () => {
  const crashes = [1, 2, 3, 4].map((atMs) =>
    createCrash(atMs, createSuspect("a x")),
  );
  expect(listParts(crashes, (part) => (part === "a" ? 4 : 0))).toEqual(["x"]);
});

test("parts that always occur together are blocked together only", () => {
  const crashes = [1, 2, 3].map((atMs) =>
    createCrash(atMs, createSuspect("a x")),
  );
  const [block] = decideCrashBlocks(crashes, NEVER);
  expect(block).toMatchObject({ kind: "prompt", parts: ["a", "x"] });
  const holds = (parts: readonly string[]) =>
    block !== undefined && holdsBlock(block, createSubject(parts, "c1"));
  expect(holds(["a", "x", "y"])).toBe(true);
  expect(holds(["a"])).toBe(false);
});

test("a crash with one of two blocked parts narrows the block", () => {
  const crashes = [1, 2, 3].map((atMs) =>
    createCrash(atMs, createSuspect("a x")),
  );
  const first = decideCrashBlocks(crashes, NEVER);
  const later = [...crashes, createCrash(4, createSuspect("b x"))];
  const second = decideCrashBlocks(later, NEVER);
  const blocks = [...first, ...second].reduce(mergeCrashBlock, []);
  expect(blocks).toMatchObject([{ kind: "prompt", parts: ["x"] }]);
});

test("a neighbour of the same three crashes is not blocked", () => {
  const both = [createSuspect("x"), createSuspect("y")];
  const crashes = [1, 2, 3].map((atMs) => createCrash(atMs, ...both));
  expect(listParts(crashes)).toEqual([]);
  expect(listParts([...crashes, createCrash(4, createSuspect("x"))])).toEqual([
    "x",
  ]);
});

test("a request without a head counts only if none has one", () => {
  const crashes = [1, 2, 3].map((atMs) =>
    createCrash(atMs, createSuspect("x"), createSuspect("y", "c1", false)),
  );
  expect(listParts(crashes)).toEqual(["x"]);
  const headless = [1, 2, 3].map((atMs) =>
    createCrash(atMs, createSuspect("y", "c1", false)),
  );
  expect(listParts(headless)).toEqual(["y"]);
});

test("two parts that crash upstreams in the same seconds are both blocked", () => {
  const crashes = [1, 3, 5]
    .map((atMs) => createCrash(atMs, createSuspect("x"), createSuspect("z")))
    .concat([7, 9, 11].map((atMs) => createCrash(atMs, createSuspect("z"))))
    .concat([8, 10, 12].map((atMs) => createCrash(atMs, createSuspect("x"))));
  expect([...listParts(crashes)].sort()).toEqual(["x", "z"]);
});

test("a customer can't have a part blocked for another customer", () => {
  const crashes = [1, 2, 3].map((atMs) =>
    createCrash(atMs, createSuspect(`victim x${atMs}`, "hostile")),
  );
  const [block] = decideCrashBlocks(crashes, NEVER);
  expect(block).toMatchObject({ kind: "prompt", parts: ["victim"] });
  const holdsFor = (customer: string) =>
    block !== undefined &&
    holdsBlock(block, createSubject(["victim"], customer));
  expect(holdsFor("hostile")).toBe(true);
  expect(holdsFor("owner")).toBe(false);
});

test("crashes of two customers block a part for all", () => {
  const block: PromptBlock = {
    kind: "prompt",
    parts: ["x"],
    customers: ["a"],
    upstreams: [],
  };
  const more = { ...block, customers: ["b"] };
  const [merged] = [block, more].reduce(mergeCrashBlock, [] as CrashBlock[]);
  const subject = createSubject(["x"], "c");
  expect(merged && holdsBlock(merged, subject)).toBe(true);
});

test("the order in which crashes become known does not matter", () => {
  const suspects = fc.array(
    fc.record({
      request: fc.constantFrom("r1", "r2", "r3"),
      parts: fc.subarray(["a", "b", "x", "y"], { minLength: 1 }),
      customer: fc.constantFrom("c1", "c2"),
      hasHead: fc.boolean(),
      hasBegun: fc.boolean(),
    }),
    { minLength: 1, maxLength: 3 },
  );
  const reports = fc.array(fc.tuple(fc.integer({ min: 1, max: 6 }), suspects), {
    maxLength: 12,
  });
  fc.assert(
    fc.property(reports, fc.infiniteStream(fc.nat()), (list, order) => {
      const crashes = list.map(([atMs, seen]) => createCrash(atMs, ...seen));
      const shuffled = crashes
        .map((value) => ({ value, key: order.next().value }))
        .sort((a, b) => a.key - b.key)
        .map(({ value }) => value);
      const decide = (values: readonly Crash[]) =>
        listBlocks(
          [...values.reduce(mergeCrash, [] as readonly Crash[])].sort(
            (a, b) => a.atMs - b.atMs,
          ),
        );
      expect(decide(shuffled)).toEqual(decide(crashes));
    }),
    { seed: 1, numRuns: 200 },
  );
});

test("no more than three of the requests that crash upstreams get through", () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.boolean(), fc.nat(5)), {
        minLength: 40,
        maxLength: 80,
      }),
      (requests) => {
        const sound = new Map<string, number>();
        let crashes: readonly Crash[] = [];
        let blocks: readonly CrashBlock[] = [];
        const crashed = requests.filter(([isBad, first], index) => {
          const customer = `c${index % 3}`;
          const parts = [`first${first}`, isBad ? "x" : `own${index}`];
          const subject = createSubject(parts, customer);
          if (blocks.some((block) => holdsBlock(block, subject))) {
            return false;
          }
          if (!isBad) {
            parts.forEach((part) => {
              sound.set(part, index);
            });
            return false;
          }
          const seen = createSuspect(parts.join(" "), customer);
          crashes = mergeCrash(crashes, createCrash(index, seen));
          const getSoundMs = (part: string) => sound.get(part) ?? -1;
          blocks = decideCrashBlocks(crashes, getSoundMs).reduce(
            mergeCrashBlock,
            blocks,
          );
          return true;
        });
        expect(crashed.length).toBeLessThanOrEqual(5);
        expect(
          blocks.every(
            (block) => block.kind === "prompt" && block.parts.includes("x"),
          ),
        ).toBe(true);
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});
