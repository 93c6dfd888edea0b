import fc from "fast-check";
import { expect, test } from "vitest";
import { AnsweredIds } from "./answered_ids.ts";
import { EXCHANGE } from "./constants.ts";

const { MAX_ANSWERED_IDS, MAX_ANSWERED_ID_LENGTH } = EXCHANGE;

type Answer = readonly [number, boolean];

/** Records answers until one is not taken; returns the ids that were. */
function fill(answers: readonly Answer[]) {
  const ids = new AnsweredIds();
  const end = answers.findIndex(
    ([id, isSuccess]) => !ids.add(`${id}`, isSuccess),
  );
  const taken = end === -1 ? answers : answers.slice(0, end);
  return { ids, taken, isFull: end !== -1 };
}

function isKnown(ids: AnsweredIds, id: number): boolean {
  return ids.find(`${id}`) !== "none";
}

const ANSWERS = fc.array(
  fc.tuple(fc.nat({ max: 3 * MAX_ANSWERED_IDS }), fc.boolean()),
  { maxLength: 8 * MAX_ANSWERED_IDS },
);

// Guards against a failed request that a connection forgets while it goes on.
test("a connection that goes on knows all that failed on it, and so many others", () => {
  fc.assert(
    fc.property(ANSWERS, (answers) => {
      const { ids, taken, isFull } = fill(answers);
      const last = new Map(taken);
      const succeeded = new Set(
        taken.filter(([, isSuccess]) => isSuccess).map(([id]) => id),
      );
      const failed = [...last].filter(([id]) => !succeeded.has(id));
      expect(failed.filter(([id]) => !isKnown(ids, id))).toEqual([]);
      const known = [...last].filter(([id]) => isKnown(ids, id));
      expect(known.length).toBeLessThanOrEqual(MAX_ANSWERED_IDS);
      if (!isFull) {
        const most = Math.min(last.size, MAX_ANSWERED_IDS);
        expect(known.length).toBe(most);
      }
    }),
    { seed: 1, numRuns: 300 },
  );
});

test("a connection ends after as many failures as it remembers, not after successes", () => {
  const count = MAX_ANSWERED_IDS + 1;
  const build = (isSuccess: boolean) =>
    Array.from({ length: count }, (_, id) => [id, isSuccess] as const);
  expect(fill(build(false))).toMatchObject({ isFull: true });
  expect(fill(build(true))).toMatchObject({ isFull: false });
});

test("an id too long to remember ends its connection", () => {
  const id = "x".repeat(MAX_ANSWERED_ID_LENGTH + 1);
  expect(new AnsweredIds().add(id, true)).toBe(false);
});

test("an answer after a success does not hide it", () => {
  const ids = new AnsweredIds();
  ids.add("a", true);
  ids.add("a", false);
  ids.add("b", false);
  expect(ids.find("a")).toBe("success");
  expect(ids.find("b")).toBe("failure");
  expect(ids.find("c")).toBe("none");
});
