import { batchKeys, ITEM_RESULTS } from "@gooseberryline/core";
import fc from "fast-check";
import { expect, test } from "vitest";
import { startJob } from "../testing/start_job.ts";
import { waitMs } from "../wait_ms.ts";

const ITEMS = 12;
const IDS = Array.from({ length: ITEMS }, (_, index) => `item-${index}`);
/** Longest wait of a reader, in ms. */
const WAIT_MS = 25;
const INSTANCES = 2;

/** What happens next; positions of reads are relative to what is listed. */
const STEP = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("read"),
      instance: fc.nat(INSTANCES - 1),
      offset: fc.integer({ min: -3, max: 4 }),
      waits: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("list"),
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("compact") }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("stale"),
      isReadStale: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("withhold"), count: fc.nat(2) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("new-owner") }) },
);
type Step = typeof STEP extends fc.Arbitrary<infer Value> ? Value : never;

/** Plays steps; returns what readers heard of each position. */
async function simulateReaders(steps: readonly Step[]) {
  const { metadata, job, own, createReader } = await startJob(IDS);
  const readers = Array.from({ length: INSTANCES }, createReader);
  const heard: (readonly [position: number, id: string])[] = [];
  const reads: Promise<void>[] = [];
  const state = { owner: (await own("w0")).owned, listed: 0, owners: 1 };
  const read = async (step: Extract<Step, { kind: "read" }>) => {
    const from = Math.max(0, state.listed + (step.offset ?? 0));
    const page = await readers[step.instance ?? 0]?.read(
      job,
      from,
      step.waits === true ? WAIT_MS : 0,
    );
    const results = page?.kind === "read" ? page.results : [];
    heard.push(...results.map(({ id }, index) => [from + index, id] as const));
  };
  for (const step of steps) {
    switch (step.kind) {
      case "read":
        reads.push(read(step));
        break;
      case "list": {
        // Items finish in another order than they were submitted.
        const ids = IDS.toReversed().slice(
          state.listed,
          state.listed + (step.count ?? 1),
        );
        state.listed += ids.length;
        ids.forEach((id) => {
          state.owner.addResult(IDS.indexOf(id), {
            id,
            state: ITEM_RESULTS.completed,
            text: id,
          });
        });
        break;
      }
      case "compact":
        metadata.compact();
        break;
      case "stale":
        metadata.setFaults({ isReadStale: step.isReadStale ?? false });
        break;
      case "withhold":
        metadata.setFaults({ withheldChanges: step.count ?? 0 });
        break;
      case "new-owner":
        // The claim of a complete job is gone.
        if (state.listed >= ITEMS) {
          break;
        }
        await expect
          .poll(() => state.owner.countListed(), { interval: 1 })
          .toBe(state.listed);
        state.owner = (await own(`w${state.owners}`)).owned;
        state.owners += 1;
        break;
    }
    await waitMs(2);
  }
  await Promise.all(reads);
  return heard;
}

// Guards against a result that two readers find at two positions.
test("whatever readers hear of a position is the same result", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(STEP, { minLength: 8, maxLength: 30 }),
      async (steps) => {
        const heard = await simulateReaders(steps);
        heard.forEach(([position, id]) => {
          expect(id).toBe(IDS.at(-1 - position));
        });
      },
    ),
    { seed: 38, numRuns: 60 },
  );
});

// Guards against results listed meanwhile that are taken for those that a reader
// past the end waits for.
test("a reader past the end gets what stands there, or nothing", async () => {
  const { own, readIds } = await startJob(["a", "b", "c"]);
  const { owned } = await own("w1");
  const add = (index: number, id: string): void =>
    owned.addResult(index, { id, state: ITEM_RESULTS.completed, text: id });
  const nothing = readIds(2, 150);
  await waitMs(20);
  add(0, "a");
  expect(await nothing).toEqual([]);
  const third = readIds(2, 2_000);
  await waitMs(20);
  add(1, "b");
  await waitMs(50);
  add(2, "c");
  expect(await third).toEqual(["c"]);
  expect(await readIds(0)).toEqual(["a", "b", "c"]);
});

// Guards against results that move up where a record before them can't be read.
test("an unreadable record ends an answer", async () => {
  const { metadata, own, readIds } = await startJob(["a", "b", "c"]);
  const { owned } = await own("w1");
  ["a", "b", "c"].forEach((id, index) => {
    owned.addResult(index, { id, state: ITEM_RESULTS.completed, text: id });
  });
  await expect.poll(() => owned.countListed()).toBe(3);
  metadata.writeRecord(batchKeys.result("j1", 1), "unreadable");
  expect(await readIds(0)).toEqual(["a"]);
  expect(await readIds(1)).toEqual([]);
  expect(await readIds(2)).toEqual(["c"]);
});
