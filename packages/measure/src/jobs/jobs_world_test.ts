import {
  INVARIANTS,
  type InstanceId,
  JOBS,
  type JobId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { type BatchOptions, offerBatch } from "./offer_batch.ts";

const toInstanceIds = (...names: string[]) => names as InstanceId[];
const JOB_ID = "job" as JobId;

const buildDocument = () =>
  buildWorldConfig({
    dataCentres: ["a", "b"],
    upstreamsPerDataCentre: 2,
    customers: ["c1", "c2"],
  });

const createWorld = (seed = 1, document = buildDocument()) =>
  new World({
    seed,
    document,
    instances: { a: 2, b: 1 },
    engine: { slots: 1_000, firstTokenMs: 100, tokenMs: 2 },
  });

const [FIRST, SECOND, THIRD] = toInstanceIds("a-0", "a-1", "b-0") as [
  InstanceId,
  InstanceId,
  InstanceId,
];

const runBatch = (
  options: Partial<BatchOptions>,
  action: (world: World) => void,
) => {
  const world = createWorld();
  offerBatch(world, { name: JOB_ID, itemCount: 3_000, ...options });
  world.runFor(4_000);
  action(world);
  world.runFor(180_000);
  return world;
};
const readPhase = (world: World) =>
  JSON.parse(
    world.store.records.get(`jobs/c1/${JOB_ID}`, world.nowMs)?.value ?? "{}",
  ).phase;
const countRunsAfter = (world: World, atMs: number) =>
  world.ledger.runs.filter(({ startedMs }) => startedMs > atMs).length;

const listOutputIndexes = (world: World) =>
  (world.ledger.outputs.get(JOB_ID) ?? [])
    .map(({ index }) => index)
    .toSorted((a, b) => a - b);
const listIndexes = (count: number) =>
  Array.from({ length: count }, (_, position) => position);

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("a job runs on several instances and each item runs once", () => {
  const world = createWorld();
  offerBatch(world, { name: JOB_ID, itemCount: 5_000 });
  world.runFor(120_000);
  expect(listOutputIndexes(world)).toEqual(listIndexes(5_000));
  expect(world.ledger.runs.length).toBe(5_000);
  const owners = new Set(world.ledger.runs.map((run) => run.instanceId));
  expect([...owners].toSorted()).toEqual([FIRST, SECOND, THIRD]);
  expect(readPhase(world)).toBe("completed");
});

test("an owner without upstreams in its own data centre uses others", () => {
  const document = buildDocument();
  const upstreams = Object.entries(document.upstreams).filter(
    ([, { dataCentre }]) => dataCentre === "a",
  );
  const world = createWorld(1, {
    ...document,
    upstreams: Object.fromEntries(upstreams),
  });
  offerBatch(world, { name: JOB_ID, itemCount: 5_000 });
  world.runFor(120_000);
  expect(listOutputIndexes(world)).toEqual(listIndexes(5_000));
  const owners = new Set(world.ledger.runs.map((run) => run.instanceId));
  expect([...owners].toSorted()).toEqual([FIRST, SECOND, THIRD]);
});

test("after the loss of an owner only uncommitted items run again", () => {
  const world = runBatch({}, (fleet) => fleet.kill(FIRST));
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
  expect(world.ledger.runs.length).toBeLessThan(3_600);
});

test("a job survives the loss of its owner right after acknowledgement", () => {
  const world = createWorld();
  world.runFor(1_000);
  offerBatch(world, { name: JOB_ID, itemCount: 100 });
  world.runFor(5);
  expect(world.ledger.jobAnswers.at(-1)?.answer.kind).toBe("accepted");
  world.kill(FIRST);
  world.runFor(120_000);
  expect(listOutputIndexes(world)).toEqual(listIndexes(100));
});

test("an owner paused beyond its lease starts no more items", () => {
  const world = runBatch({}, (fleet) => {
    fleet.pause(FIRST);
    fleet.runFor(60_000);
    const ownedSegments = Object.values(
      fleet.getState(FIRST)?.jobs.owned ?? {},
    );
    const isOwnedItem = (workId: string) =>
      ownedSegments.some(({ number }) => {
        const index = Number(workId.split("/")[1]);
        return Math.floor(index / JOBS.SEGMENT_ITEMS) === number;
      });
    const resumedMs = fleet.nowMs;
    fleet.resume(FIRST);
    fleet.runFor(2_000);
    const lateRuns = fleet.ledger.runs.filter(
      (run) =>
        run.instanceId === FIRST &&
        run.startedMs >= resumedMs &&
        isOwnedItem(run.workId),
    );
    expect(ownedSegments.length).toBeGreaterThan(0);
    expect(lateRuns).toEqual([]);
  });
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
});

test("a resent job finds itself, another input is refused", () => {
  const world = createWorld();
  [FIRST, SECOND, THIRD].forEach((instanceId) => {
    offerBatch(world, { name: JOB_ID, itemCount: 50, at: instanceId });
  });
  offerBatch(world, { name: JOB_ID, itemCount: 50, inputHash: "other" });
  world.runFor(60_000);
  const kinds = world.ledger.jobAnswers.map(({ answer }) => answer.kind);
  expect(kinds.toSorted()).toEqual(
    ["accepted", "accepted", "accepted"].concat("conflict"),
  );
  expect(world.ledger.runs.length).toBe(50);
});

test("a job offered while the store is down is refused", () => {
  const world = createWorld();
  world.store.setFaults({ isDown: true });
  offerBatch(world, { name: JOB_ID, itemCount: 50 });
  world.runFor(10_000);
  expect(world.ledger.jobAnswers[0]?.answer).toEqual({
    kind: "unavailable",
    run: "may have run",
  });
});

test("lost store answers neither duplicate nor lose an item", () => {
  const world = createWorld();
  world.store.setFaults({ loseAnswers: 20 });
  offerBatch(world, { name: JOB_ID, itemCount: 3_000 });
  world.runFor(180_000);
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
  expect(world.ledger.runs.length).toBe(3_000);
});

test("idempotent items continue while the store is down", () => {
  const world = runBatch({}, (fleet) => {
    fleet.store.setFaults({ isDown: true });
    const before = fleet.ledger.runs.length;
    fleet.runFor(30_000);
    expect(fleet.ledger.runs.length).toBeGreaterThan(before + 200);
    fleet.store.setFaults({ isDown: false });
  });
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
  expect(world.ledger.runs.length).toBe(3_000);
});

test("a cancelled job starts no items after a few seconds", () => {
  const world = runBatch({}, (fleet) => {
    fleet.dispatch(THIRD, {
      kind: "job-cancel-asked",
      jobId: JOB_ID,
      customer: "c1" as never,
    });
    fleet.runFor(2_000);
  });
  expect(countRunsAfter(world, 6_000)).toBe(0);
  expect(readPhase(world)).toBe("cancelled");
  expect(listOutputIndexes(world).length).toBeGreaterThan(50);
});

test("a cancelled job stops while the store is down", () => {
  const world = runBatch({}, (fleet) => {
    fleet.store.setFaults({ isDown: true });
    fleet.dispatch(THIRD, {
      kind: "job-cancel-asked",
      jobId: JOB_ID,
      customer: "c1" as never,
    });
    fleet.runFor(30_000);
    expect(countRunsAfter(fleet, 6_000)).toBe(0);
    fleet.store.setFaults({ isDown: false });
  });
  expect(readPhase(world)).toBe("cancelled");
});

test("every result stays readable after the loss of a disk", () => {
  const world = runBatch({}, (fleet) => {
    fleet.kill(FIRST);
    fleet.disks.dropDisk(FIRST);
  });
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
});

test("a non-idempotent item runs once despite a lost and a paused owner", () => {
  const world = runBatch({ isIdempotent: false }, (fleet) => {
    fleet.kill(FIRST);
    fleet.pause(SECOND);
    fleet.runFor(50_000);
    fleet.resume(SECOND);
  });
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
  const items = world.ledger.runs.map(({ workId }) => workId);
  expect(new Set(items).size).toBe(items.length);
});

test("an instance releases its segments on a planned stop", () => {
  const world = runBatch({}, (fleet) => {
    fleet.dispatch(FIRST, { kind: "stop-asked" });
    fleet.runFor(3_000);
    expect(fleet.getState(FIRST)?.jobs.owned).toEqual({});
    fleet.kill(FIRST);
  });
  expect(listOutputIndexes(world)).toEqual(listIndexes(3_000));
});
