import {
  type DataCentreId,
  INVARIANTS,
  type InstanceId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { findOverrun } from "./find_overrun.ts";

const RATE_LIMIT = { rate: 20, burst: 10 };
const DUPLICATED_ID = "a-0" as InstanceId;

const createWorld = (seed: number) =>
  new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 8,
      customers: ["c1"],
      ...RATE_LIMIT,
    }),
    instances: { a: 2, b: 2 },
  });

const sumShares = (world: World) =>
  world.instanceIds
    .map((id) => world.getState(id)?.limits.c1?.share.burst ?? 0)
    .reduce((sum, burst) => sum + burst, 0);

const assertWithinLimit = (world: World) => {
  const { admissions } = world.ledger;
  expect(admissions.length).toBeGreaterThan(100);
  expect(findOverrun(admissions, [{ fromMs: 0, ...RATE_LIMIT }])).toBe(
    undefined,
  );
};

const generateLoad = (world: World, seed: number) =>
  generateArrivals(world, { seed, customer: "c1", rate: 100, untilMs: 60_000 });

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("admissions under overload stay within the limit and use most of it", () => {
  const world = createWorld(1);
  generateLoad(world, 1);
  world.runFor(60_000);
  assertWithinLimit(world);
  const admitted = world.ledger.admissions.reduce(
    (n, { count }) => n + count,
    0,
  );
  expect(admitted).toBeGreaterThan(0.9 * 20 * 60);
});

test("a restarted instance gets its share back without spending it twice", () => {
  const world = createWorld(2);
  generateLoad(world, 2);
  world.runFor(20_000);
  world.instanceIds.forEach((id) => {
    world.kill(id);
    world.start(id, id.slice(0, 1) as DataCentreId);
    world.runFor(10_000);
  });
  expect(sumShares(world)).toBeCloseTo(1, 5);
  assertWithinLimit(world);
});

test("two processes with one instance id stay within the limit", () => {
  const world = createWorld(3);
  generateLoad(world, 3);
  world.runFor(10_000);
  expect(world.startDuplicate(DUPLICATED_ID)).toBe("~a-0");
  world.runFor(50_000);
  expect(
    world.getState("~a-0" as InstanceId)?.membership.incarnationStatus,
  ).toBe("superseded");
  assertWithinLimit(world);
});

test("admissions stay within the limit under partitions, pauses, lost answers and a store outage", () => {
  const world = createWorld(4);
  generateLoad(world, 4);
  world.runFor(10_000);
  world.network.setLoss(0.1);
  world.network.cut("a-0", "platform");
  world.pause("b-0" as InstanceId);
  world.runFor(6_000);
  world.resume("b-0" as InstanceId);
  world.store.setFaults({ loseAnswers: 3 });
  world.runFor(6_000);
  world.store.setFaults({ isDown: true });
  world.network.cut("a", "b");
  world.runFor(20_000);
  assertWithinLimit(world);
});

test("an instance that has reached neither the store nor a peer admits nothing", () => {
  const world = new World({
    seed: 5,
    document: buildWorldConfig({
      dataCentres: ["a"],
      upstreamsPerDataCentre: 8,
      customers: ["c1"],
      ...RATE_LIMIT,
    }),
    instances: { a: 2 },
    disks: ["a-0", "a-1"],
  });
  world.runFor(1_000);
  world.network.cut("a-0", "a-1");
  world.network.cut("a", "platform");
  world.instanceIds.forEach((id) => {
    world.kill(id);
    world.start(id, "a" as DataCentreId);
  });
  generateArrivals(world, {
    seed: 5,
    customer: "c1",
    rate: 100,
    untilMs: 20_000,
  });
  world.runFor(30_000);
  expect(world.ledger.calls.length).toBeGreaterThan(500);
  expect(world.ledger.admissions).toEqual([]);
});
