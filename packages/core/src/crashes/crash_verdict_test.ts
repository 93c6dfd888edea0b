import fc from "fast-check";
import { expect, test } from "vitest";
import { chooseCrashWitnesses } from "./choose_crash_witnesses.ts";
import { CRASHES } from "./constants.ts";
import { decideCrashVerdict } from "./decide_crash_verdict.ts";
import { mergeCrash } from "./merge_crash.ts";
import type { Crash } from "./types.ts";

const SEEN_BY_ONE: Crash = {
  upstreamId: "u1",
  atMs: 0,
  suspects: [],
  downAt: ["a1"],
  reachedAt: [],
  isReplaced: false,
};
const INSTANCES = ["a", "b", "c"].flatMap((dataCentre) =>
  [1, 2, 3, 4].map((index) => ({ id: `${dataCentre}${index}`, dataCentre })),
);

function decide(crash: Partial<Crash>, nowMs: number = CRASHES.SETTLE_MS) {
  return decideCrashVerdict({ ...SEEN_BY_ONE, ...crash }, nowMs);
}

test("what one instance saw alone is no crash", () => {
  expect(decide({})).toBe("unknown");
  expect(decide({}, 60_000)).toBe("unknown");
});

test("a second instance that finds it down, or its successor, confirms a crash", () => {
  expect(decide({ downAt: ["a1", "b1"] })).toBe("crashed");
  expect(decide({ isReplaced: true })).toBe("crashed");
});

test("nothing is confirmed before others can object", () => {
  const crash = { downAt: ["a1", "b1"] };
  expect(decide(crash, CRASHES.SETTLE_MS - 1)).toBe("unknown");
});

test("four that find it down need not wait for others", () => {
  const downAt = ["a1", "b1", "b2", "c1"];
  expect(decide({ downAt }, 0)).toBe("crashed");
});

test("an instance that reaches it outweighs those that do not", () => {
  const downAt = ["a1", "a2", "a3"];
  expect(decide({ downAt, reachedAt: ["b1"] })).toBe("reached");
  expect(decide({ downAt, reachedAt: ["b1"], isReplaced: true })).toBe(
    "reached",
  );
});

test("witnesses are others, those of other data centres first", () => {
  const witnesses = chooseCrashWitnesses(SEEN_BY_ONE, INSTANCES);
  expect(witnesses).toHaveLength(CRASHES.ASKED_WITNESSES);
  expect(witnesses.every((id) => !id.startsWith("a"))).toBe(true);
  const own = INSTANCES.filter(({ dataCentre }) => dataCentre === "a");
  const near = chooseCrashWitnesses(SEEN_BY_ONE, own);
  expect([...near].sort()).toEqual(["a2", "a3", "a4"]);
});

test("however the paths are cut, an upstream that some witness reaches did not crash", () => {
  fc.assert(
    fc.property(
      fc.subarray(INSTANCES, { minLength: 1, maxLength: 8 }),
      fc.nat(1_000),
      (cut, salt) => {
        const [first] = cut;
        const upstreamId = `u${salt}`;
        const downAt = [first?.id ?? ""];
        const report = { ...SEEN_BY_ONE, upstreamId, downAt };
        const asked = chooseCrashWitnesses(report, INSTANCES);
        const isCut = (id: string) => cut.some((other) => other.id === id);
        const seen = asked.map((id) => ({
          ...report,
          downAt: isCut(id) ? [id] : [],
          reachedAt: isCut(id) ? [] : [id],
        }));
        const [crash] = seen.reduce(mergeCrash, [report] as readonly Crash[]);
        const isMissed = asked.every(isCut);
        expect(crash && decideCrashVerdict(crash, CRASHES.SETTLE_MS)).toBe(
          isMissed ? "crashed" : "reached",
        );
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});
