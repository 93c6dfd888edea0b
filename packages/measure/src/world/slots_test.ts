import {
  type ConfigDocument,
  type DataCentreId,
  INVARIANTS,
  type InstanceId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "./build_world_config.ts";
import { generateArrivals } from "./generate_arrivals.ts";

const buildDocument = (evacuatedId?: string): ConfigDocument => {
  const document = buildWorldConfig({
    dataCentres: ["a", "b"],
    upstreamsPerDataCentre: 2,
    customers: ["c1", "c2"],
    rate: 1_000,
    burst: 1_000,
  });
  return evacuatedId === undefined
    ? document
    : {
        ...document,
        dataCentres: {
          ...document.dataCentres,
          [evacuatedId]: { state: "out" },
        },
      };
};

const createWorld = (seed: number) =>
  new World({
    seed,
    document: buildDocument(),
    instances: { a: 3, b: 3 },
    isCold: true,
  });

const generateLoad = (world: World, seed: number, untilMs: number) =>
  ["c1", "c2"].forEach((customer, customerIndex) => {
    generateArrivals(world, {
      seed: seed + customerIndex,
      customer,
      rate: 12,
      untilMs,
    });
  });

const countCrashes = (world: World) =>
  [...world.engines.values()].reduce((sum, { crashes }) => sum + crashes, 0);

const startEnginesCold = (world: World) =>
  world.engines.forEach((engine) => {
    engine.startCold();
  });

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test.each([1, 2, 3])("no engine crashes at a cold start, seed %i", (seed) => {
  const world = createWorld(seed);
  startEnginesCold(world);
  generateLoad(world, seed, 60_000);
  world.runFor(90_000);
  expect(countCrashes(world)).toBe(0);
  const lateCalls = world.ledger.calls.filter(
    ({ arrivedMs }) => arrivedMs > 45_000,
  );
  expect(lateCalls.filter(({ end }) => end?.kind !== "answered")).toEqual([]);
});

test.each([1, 2])("ramps hold under message loss, seed %i", (seed) => {
  const world = createWorld(seed);
  world.network.setLoss(0.1);
  startEnginesCold(world);
  generateLoad(world, seed, 60_000);
  world.runFor(90_000);
  expect(countCrashes(world)).toBe(0);
});

test.each([1, 2])(
  "ramps hold under partitions between instances, seed %i",
  (seed) => {
    const world = createWorld(seed);
    generateLoad(world, seed, 120_000);
    world.runFor(20_000);
    world.network.cut("a-0", "a-1");
    world.network.cut("a-0", "a-2");
    world.runFor(20_000);
    startEnginesCold(world);
    world.runFor(20_000);
    world.network.healAll();
    world.network.cut("a-1", "a-2");
    startEnginesCold(world);
    world.runFor(40_000);
    world.network.healAll();
    world.runFor(60_000);
    expect(countCrashes(world)).toBe(0);
  },
);

test("a lost slot owner is replaced", () => {
  const world = createWorld(4);
  generateLoad(world, 4, 90_000);
  world.runFor(40_000);
  const owner = world.getState("a-0" as InstanceId)?.slots.links.a?.ownerId;
  world.kill(owner as InstanceId);
  world.setListed(owner as InstanceId, "gone");
  world.runFor(10_000);
  const before = world.ledger.runs.length;
  world.runFor(10_000);
  const runs = world.ledger.runs.slice(before);
  expect(
    runs.filter(({ upstreamId }) => upstreamId.startsWith("a")).length,
  ).toBeGreaterThan(20);
});

test("an evacuated data centre gets no work and ramps when it returns", () => {
  const world = createWorld(5);
  generateLoad(world, 5, 120_000);
  world.runFor(50_000);
  world.setConfig(buildDocument("a"));
  world.runFor(100);
  const before = world.ledger.runs.length;
  world.runFor(20_000);
  const runsWhileEvacuated = world.ledger.runs.slice(before);
  expect(
    runsWhileEvacuated.filter(({ upstreamId }) => upstreamId.startsWith("a")),
  ).toEqual([]);
  startEnginesCold(world);
  world.setConfig(buildDocument());
  world.runFor(80_000);
  expect(countCrashes(world)).toBe(0);
  expect(world.ledger.calls.length).toBeGreaterThan(1_000);
});

test("a restarted instance waits before it votes", () => {
  const world = createWorld(6);
  generateLoad(world, 6, 60_000);
  world.runFor(20_000);
  world.kill("a-1" as InstanceId);
  world.start("a-1" as InstanceId, "a" as DataCentreId);
  startEnginesCold(world);
  world.runFor(60_000);
  expect(countCrashes(world)).toBe(0);
});
