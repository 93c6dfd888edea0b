import { INVARIANTS, type JobId, type JobRecord } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import fc from "fast-check";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { JOB_FAULTS, type JobAction } from "./job_faults.ts";
import { offerBatch } from "./offer_batch.ts";

const ITEMS = 2_400;
const REST_MS = 300_000;
const RUNS = Number(process.env.JOB_RUNS ?? 12);
const SEED = Number(process.env.JOB_SEED ?? 3);

const createWorld = () => {
  const world = new World({
    seed: 1,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 2,
      customers: ["c1"],
      concurrency: 8,
    }),
    instances: { a: 2, b: 2 },
    engine: { slots: 1_000, firstTokenMs: 100, tokenMs: 4 },
  });
  world.runFor(1_500);
  return world;
};

const actions = fc.array(
  fc.record({
    kind: fc.oneof(
      { weight: 12, arbitrary: fc.constant("wait") },
      { weight: 13, arbitrary: fc.constantFrom(...Object.keys(JOB_FAULTS)) },
    ),
    at: fc.nat(3),
    size: fc.integer({ min: 1, max: 10 }),
  }),
  { maxLength: 24 },
);

const readJob = (world: World, name: string) => {
  const found = world.store.records.get(`jobs/c1/${name}`, world.nowMs);
  return found === undefined
    ? undefined
    : (JSON.parse(found.value) as JobRecord);
};

const endFaults = (world: World) => {
  world.network.healAll();
  world.store.setFaults({ isDown: false, delayMs: 2, loseAnswers: 0 });
  world.runFor(REST_MS);
};

const runPlan = (plan: readonly JobAction[]) => {
  const world = createWorld();
  ["job-0", "job-1", "job-2"].forEach((name, jobIndex) => {
    const isIdempotent = jobIndex !== 1;
    const instanceId = world.instanceIds[jobIndex];
    const itemCount = ITEMS / (jobIndex + 1);
    offerBatch(world, { name, itemCount, isIdempotent, at: instanceId });
  });
  world.runFor(1_000);
  plan.forEach((action) => {
    const id = ["a-0", "a-1", "b-0", "b-1"][action.at] as never;
    JOB_FAULTS[action.kind]?.(world, id, action);
  });
  endFaults(world);
  return world;
};

const checkJob = (world: World, name: string) => {
  const record = readJob(world, name);
  const indexes = (world.ledger.outputs.get(name as JobId) ?? []).map(
    ({ index }) => index,
  );
  expect(new Set(indexes).size).toBe(indexes.length);
  expect(["completed", "cancelled"]).toContain(record?.phase);
  if (record?.phase === "completed") {
    expect(indexes.length).toBe(record.spec.itemCount);
  }
};

const checkRuns = (world: World) => {
  const items = world.ledger.runs
    .map(({ workId }) => workId)
    .filter((workId) => workId.startsWith("job-1/"));
  expect(new Set(items).size).toBe(items.length);
};

const hasLostSeveralDisks = (plan: readonly JobAction[]) =>
  plan.filter(({ kind }) => kind === "lose disk").length > 1;

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("under arbitrary faults each item ends once and each job ends", () => {
  fc.assert(
    fc.property(actions, (plan) => {
      fc.pre(!hasLostSeveralDisks(plan));
      const world = runPlan(plan);
      ["job-0", "job-1", "job-2"].forEach((name) => {
        checkJob(world, name);
      });
      checkRuns(world);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
