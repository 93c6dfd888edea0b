import { INVARIANTS, type InstanceId } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "./build_world_config.ts";
import { generateArrivals } from "./generate_arrivals.ts";

const createWorld = (seed: number) =>
  new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 2,
      customers: ["c1", "c2"],
    }),
    instances: { a: 2, b: 2 },
  });

const runWorld = (seed: number) => {
  const world = createWorld(seed);
  generateArrivals(world, { seed, customer: "c1", rate: 10, untilMs: 20_000 });
  generateArrivals(world, { seed, customer: "c2", rate: 10, untilMs: 20_000 });
  world.runFor(60_000);
  return world;
};

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("every request ends", () => {
  const { ledger } = runWorld(1);
  expect(ledger.calls.length).toBeGreaterThan(300);
  expect(ledger.calls.filter(({ end }) => end === undefined)).toEqual([]);
});

test("runs with equal seeds are identical", () => {
  expect(runWorld(7).ledger.calls).toEqual(runWorld(7).ledger.calls);
});

const listHeardMembers = (world: World, id: string) => {
  const state = world.getState(id as InstanceId);
  return Object.values(state?.membership.members ?? {})
    .filter(({ lastSeenMs }) => lastSeenMs > 0)
    .map(({ instanceId }): string => instanceId);
};

test("heartbeats reach the other instances of the data centre", () => {
  const world = createWorld(3);
  world.runFor(1_000);
  const local = listHeardMembers(world, "a-0").filter((id) =>
    id.startsWith("a-"),
  );
  expect(local).toEqual(["a-1"]);
});

test("only delegates send heartbeats to other data centres", () => {
  const world = new World({
    seed: 3,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 1,
      customers: ["c1"],
    }),
    instances: { a: 6, b: 6 },
  });
  world.runFor(2_500);
  const before = new Map(
    world.instanceIds.map((id) => [id, world.getState(id)?.membership.members]),
  );
  world.runFor(10_000);
  const crossSenders = world.instanceIds.flatMap((id) =>
    Object.values(world.getState(id)?.membership.members ?? {})
      .filter(({ dataCentre }) => !id.startsWith(dataCentre))
      .filter(
        ({ instanceId, lastSeenMs }) =>
          lastSeenMs > (before.get(id)?.[instanceId]?.lastSeenMs ?? 0),
      )
      .map(({ instanceId }) => instanceId),
  );
  expect(new Set(crossSenders).size).toBe(4);
});

test("a member silent for long is removed and one still in contact stays", () => {
  const world = createWorld(3);
  const hasMember = (id: string) =>
    Object.keys(
      world.getState("a-0" as InstanceId)?.membership.members ?? {},
    ).includes(id);
  world.runFor(2_000);
  world.setListed("a-1" as InstanceId, "gone");
  world.setListed("b-1" as InstanceId, "gone");
  world.kill("b-1" as InstanceId);
  world.runFor(30_000);
  expect(hasMember("b-1")).toBe(true);
  world.runFor(60_000);
  expect(hasMember("b-1")).toBe(false);
  expect(hasMember("a-1")).toBe(true);
});

test("a process with the instance's own id is not a peer", () => {
  const world = createWorld(3);
  world.runFor(1_000);
  const id = "a-0" as InstanceId;
  const peerState = world.getState("a-1" as InstanceId);
  const member = peerState?.membership.members[id];
  if (member === undefined) {
    throw new Error("a-1 has not heard of a-0");
  }
  const { instanceId: _id, lastSeenMs: _lastSeenMs, ...memberInfo } = member;
  const heartbeat = {
    ...memberInfo,
    kind: "heartbeat",
    incarnation: "x",
    sentMs: world.nowMs,
  } as const;
  world.dispatch(id, { kind: "peer-message", from: id, message: heartbeat });
  expect(world.getState(id)?.membership.members).not.toHaveProperty(id);
});
