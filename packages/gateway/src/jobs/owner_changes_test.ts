import { type BatchJob, batchKeys, ITEM_RESULTS } from "@gooseberryline/core";
import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { startJob } from "../testing/start_job.ts";
import { batchRecords } from "./batch_records.ts";
import type { ResultsReader } from "./results_reader.ts";

const ITEMS = 12;
const IDS = Array.from({ length: ITEMS }, (_, index) => `item-${index}`);
/** Longest wait of a reader, in ms. */
const WAIT_MS = 400;
const STEP_MS = 60;
/** Time in which reads, writes and their retries end, in ms. */
const SETTLE_MS = 5_000;
const READERS = 3;
const SOUND = {
  lostCommits: 0,
  lateCommits: 0,
  withheldChanges: 0,
  staleRevisions: 0,
  pageItems: 500,
};
const LARGE_TEXT = "x".repeat(400_000);

/** What happens next; positions of reads are relative to what was heard. */
const STEP = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      reader: fc.nat(READERS - 1),
      offset: fc.integer({ min: -3, max: 5 }),
      waits: fc.boolean(),
    }),
  },
  {
    weight: 5,
    // An owner other than the newest was frozen, and wakes up.
    arbitrary: fc.record({
      kind: fc.constant("finish" as const),
      owner: fc.nat(2),
      turn: fc.nat(ITEMS),
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("new-owner" as const) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("restart" as const) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("apply-late" as const) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("compact" as const) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("faults" as const),
      lostCommits: fc.nat(2),
      lateCommits: fc.nat(1),
      withheldChanges: fc.nat(1),
      staleRevisions: fc.nat(4),
      pageItems: fc.integer({ min: 1, max: 4 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("sound" as const) }) },
);
type Step = typeof STEP extends fc.Arbitrary<infer Value> ? Value : never;
type JobParts = Awaited<ReturnType<typeof startJob>>;
type Heard = { readonly position: number; readonly id: string };

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Claims the job for a further owner, as a worker does; loads it as its owner. */
async function claim({ metadata, own }: JobParts, name: string) {
  const record = { owner: name, incarnation: "1", dueAtMs: 0 };
  const value = batchRecords.encode(record).toString();
  metadata.writeRecord(batchKeys.claim("j1"), value);
  const { owned } = await own(name);
  const { listed } = owned.loaded;
  const left = IDS.filter((_, index) => !listed.includes(index));
  const finish = (turn: number, count: number, text = ""): void => {
    const first = turn % Math.max(1, left.length);
    left.splice(first, count).forEach((id) => {
      const result = {
        id,
        state: ITEM_RESULTS.completed,
        text: `${id}${text}`,
      };
      owned.addResult(IDS.indexOf(id), result);
    });
  };
  return { owned, finish };
}

async function readFrom(
  reader: ResultsReader | undefined,
  job: BatchJob,
  from: number,
  maxWaitMs: number,
): Promise<readonly Heard[]> {
  const page = await reader?.read(job, from, maxWaitMs);
  const results = page?.kind === "read" ? page.results : [];
  return results.map(({ id }, index) => ({ position: from + index, id }));
}

/** Reads all results from the front. */
async function readAll(
  reader: ResultsReader,
  job: BatchJob,
  from = 0,
): Promise<readonly string[]> {
  const heard = await readFrom(reader, job, from, 0);
  const ids = heard.map(({ id }) => id);
  return ids.length === 0
    ? []
    : [...ids, ...(await readAll(reader, job, from + ids.length))];
}

/** Plays steps; returns what readers heard, and what a new reader reads at last. */
async function simulateOwners(steps: readonly Step[]) {
  const parts = await startJob(IDS);
  const { metadata, job, createReader } = parts;
  const createReaders = () => Array.from({ length: READERS }, createReader);
  const heard: Heard[] = [];
  const state = {
    readers: createReaders(),
    owners: [await claim(parts, "w0")],
    claims: 1,
    lastPosition: -1,
  };
  const read = async (step: Extract<Step, { kind: "read" }>) => {
    const from = Math.max(0, state.lastPosition + 1 + step.offset);
    const reader = state.readers[step.reader];
    const waitMs = step.waits ? WAIT_MS : 0;
    const found = await readFrom(reader, job, from, waitMs);
    heard.push(...found);
    const positions = found.map(({ position }) => position);
    state.lastPosition = Math.max(state.lastPosition, ...positions);
  };
  const claimNext = async (): Promise<void> => {
    const isOpen = (await parts.readIds(ITEMS - 1)).length === 0;
    if (isOpen) {
      state.owners.unshift(await claim(parts, `w${state.claims}`));
      state.claims += 1;
    }
  };
  const apply = async (step: Step): Promise<void> => {
    switch (step.kind) {
      case "read":
        void read(step);
        return;
      case "finish":
        state.owners[step.owner % state.owners.length]?.finish(
          step.turn,
          step.count,
        );
        return;
      case "new-owner":
        await claimNext();
        return;
      case "restart":
        state.owners.forEach(({ owned }) => {
          owned.abandon();
        });
        state.readers = createReaders();
        await claimNext();
        return;
      case "apply-late":
        metadata.applyLateCommits();
        return;
      case "compact":
        metadata.compact();
        return;
      case "faults": {
        const { kind, ...faults } = step;
        metadata.setFaults(faults);
        return;
      }
      case "sound":
        metadata.setFaults(SOUND);
        return;
    }
  };
  for (const step of steps) {
    await apply(step);
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  metadata.setFaults(SOUND);
  metadata.applyLateCommits();
  await claimNext();
  state.owners.forEach(({ finish }) => {
    finish(0, ITEMS);
  });
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  return { heard, final: await readAll(createReader(), job) };
}

// Guards against a former owner's, a lost or a late write that shifts positions.
test("results of several owners stand once each, where all have heard them", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(STEP, { minLength: 10, maxLength: 40 }),
      async (steps) => {
        const { heard, final } = await simulateOwners(steps);
        expect(final.toSorted()).toEqual(IDS.toSorted());
        const wrong = heard.filter(
          ({ position, id }) => final[position] !== id,
        );
        expect(wrong).toEqual([]);
      },
    ),
    { seed: 42, numRuns: 150 },
  );
});

// Guards against results that move up where an answer or a page ends early.
test("results of several hundred KB keep their positions", async () => {
  const parts = await startJob(IDS);
  const { job, createReader } = parts;
  const { finish } = await claim(parts, "w1");
  const early = [0, 1, 2, 5, 9].map((from) =>
    readFrom(createReader(), job, from, SETTLE_MS),
  );
  finish(4, 3, LARGE_TEXT);
  await vi.advanceTimersByTimeAsync(STEP_MS);
  finish(0, ITEMS, LARGE_TEXT);
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const final = await readAll(createReader(), job);
  expect(final.toSorted()).toEqual(IDS.toSorted());
  const late = IDS.map((_, from) => readFrom(createReader(), job, from, 0));
  const heard = (await Promise.all([...early, ...late])).flat();
  expect(heard.length).toBeGreaterThanOrEqual(ITEMS);
  const wrong = heard.filter(({ position, id }) => final[position] !== id);
  expect(wrong).toEqual([]);
});

// Guards against results that change their positions once a caller ends their job.
test("what was listed of a job that ends while it is read keeps its place", async () => {
  const parts = await startJob(IDS);
  const { job, metadata, createReader } = parts;
  const { finish } = await claim(parts, "w1");
  const reader = createReader();
  finish(3, 3);
  await vi.advanceTimersByTimeAsync(STEP_MS);
  const before = await readAll(reader, job);
  const waiting = readFrom(reader, job, before.length, SETTLE_MS);
  const beyond = readFrom(createReader(), job, before.length + 2, SETTLE_MS);
  await vi.advanceTimersByTimeAsync(STEP_MS);
  finish(0, 1);
  metadata.remove(batchKeys.claim("j1"));
  await vi.advanceTimersByTimeAsync(STEP_MS);
  finish(0, ITEMS);
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const final = await readAll(createReader(), job);
  expect(final.slice(0, before.length)).toEqual(before);
  expect(new Set(final).size).toBe(final.length);
  const heard = [...(await waiting), ...(await beyond)];
  const wrong = heard.filter(({ position, id }) => final[position] !== id);
  expect(wrong).toEqual([]);
});
