import { INVARIANTS } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { driveArrivals } from "./drive_arrivals.ts";
import { buildWorldConfig } from "./world_config.ts";

const createWorld = (seed: number) =>
  new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsEach: 2,
      customers: ["c1", "c2"],
    }),
    instances: { a: 2, b: 2 },
  });

const runWorld = (seed: number) => {
  const world = createWorld(seed);
  driveArrivals(world, { seed, customer: "c1", rate: 10, untilMs: 20_000 });
  driveArrivals(world, { seed, customer: "c2", rate: 10, untilMs: 20_000 });
  world.runFor(60_000);
  return world;
};

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("every arrival ends", () => {
  const { ledger } = runWorld(1);
  expect(ledger.calls.length).toBeGreaterThan(300);
  expect(ledger.calls.filter(({ end }) => end === undefined)).toEqual([]);
});

test("equal seeds give equal runs", () => {
  expect(runWorld(7).ledger.calls).toEqual(runWorld(7).ledger.calls);
});

test("heartbeats reach the instances of a data centre", () => {
  const world = createWorld(3);
  world.runFor(1_000);
  const [first] = world.instanceIds;
  const state = first === undefined ? undefined : world.stateOf(first);
  const heard = Object.values(state?.membership.members ?? {})
    .filter(({ heardMs }) => heardMs > 0)
    .map(({ instanceId }) => instanceId);
  expect(heard).toEqual(["a-1"]);
});
