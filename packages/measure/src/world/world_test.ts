import { INVARIANTS, type InstanceId } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { driveArrivals } from "./drive_arrivals.ts";
import { buildWorldConfig } from "./world_config.ts";

const createWorld = (seed: number, each = 2) =>
  new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsEach: 2,
      customers: ["c1", "c2"],
    }),
    instances: { a: each, b: each },
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

const listHeard = (world: World, id: InstanceId) =>
  Object.values(world.stateOf(id)?.membership.members ?? {})
    .filter(({ heardMs }) => heardMs > 0)
    .map(({ instanceId }) => instanceId);

test("heartbeats reach a data centre and two delegates of each other", () => {
  const world = createWorld(3, 3);
  world.runFor(1_000);
  const heard = world.instanceIds.map((id) => {
    const ids = listHeard(world, id);
    const near = ids.filter((other) => other[0] === id[0]);
    return { id, near: near.length, far: ids.length - near.length };
  });
  expect(heard.map(({ near }) => near)).toEqual([2, 2, 2, 2, 2, 2]);
  const far = (place: string) =>
    heard
      .filter(({ id }) => id.startsWith(place))
      .map((one) => one.far)
      .sort();
  expect(far("a")).toEqual([0, 2, 2]);
  expect(far("b")).toEqual([0, 2, 2]);
});
