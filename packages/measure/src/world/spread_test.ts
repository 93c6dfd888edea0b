import {
  type ConfigDocument,
  type DataCentreId,
  drawRandom,
  INVARIANTS,
  type InstanceId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "./build_world_config.ts";
import { generateArrivals } from "./generate_arrivals.ts";

const ADOPTION_LIMIT_MS = 11_000;
const DATA_CENTRES = ["a", "b", "c"];
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

const document = buildWorldConfig({
  dataCentres: DATA_CENTRES,
  upstreamsPerDataCentre: 1,
  customers: ["c1", "c2"],
});

const createWorld = (seed: number, disks: readonly string[] = []) =>
  new World({ seed, document, instances: { a: 4, b: 4, c: 4 }, disks });

const changeRate = (world: World, rate: number) => {
  const { c1, ...others } = world.config.document.customers;
  const customers = { ...others, ...(c1 && { c1: { ...c1, rate } }) };
  return world.setConfig({ ...world.config.document, customers });
};

const getRevision = (world: World, id: string) =>
  world.getState(id as InstanceId)?.config?.revision;

const buildEndpoint = (id: string) => ({ id, dataCentre: id.charAt(0) });

/** Lists instances that the store reaches directly or through others. */
const listReachable = (world: World) => {
  const isCut = (a: string, b: string) =>
    world.network.isCut(buildEndpoint(a), buildEndpoint(b));
  const platform = { id: "platform", dataCentre: "platform" };
  const collectReachable = (reached: readonly string[]): readonly string[] => {
    const next = world.instanceIds.filter(
      (id) => reached.includes(id) || reached.some((from) => !isCut(from, id)),
    );
    return next.length === reached.length ? next : collectReachable(next);
  };
  return collectReachable(
    world.instanceIds.filter(
      (id) => !world.network.isCut(buildEndpoint(id), platform),
    ),
  );
};

const assertAdopted = (world: World, revision: number) => {
  const outdated = listReachable(world)
    .map((id) => ({ id, revision: getRevision(world, id) }))
    .filter((instance) => instance.revision !== revision);
  expect(outdated).toEqual([]);
};

const createDraw = (seed: number) => {
  const state = { seed };
  return (below: number): number => {
    const drawn = drawRandom(state.seed);
    state.seed = drawn.seed;
    return Math.floor(drawn.value * below);
  };
};

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("only a few instances per data centre watch the store", () => {
  const world = createWorld(1);
  world.runFor(5_000);
  const watching = world.instanceIds.filter(
    (id) => world.getState(id)?.configPropagation.isWatching,
  );
  expect(watching.length).toBe(9);
});

test("peers receive a change as a patch that yields the same document", () => {
  const world = createWorld(1);
  world.runFor(5_000);
  changeRate(world, 7);
  world.runFor(2_000);
  assertAdopted(world, 2);
  world.instanceIds.forEach((id) => {
    expect(world.getState(id)?.config).toEqual(world.config);
  });
  expect(world.ledger.countMessages("config-sent")).toBeGreaterThan(0);
  const bytes = world.ledger.countBytes("config-sent");
  const { length } = JSON.stringify(document);
  expect(bytes / world.ledger.countMessages("config-sent")).toBeLessThan(
    length / 2,
  );
});

test.each(SEEDS)("changes spread in time under faults, seed %i", (seed) => {
  const world = createWorld(seed);
  const draw = createDraw(seed);
  world.runFor(3_000);
  Array.from({ length: 6 }).forEach((_round, round) => {
    const ids = world.instanceIds;
    const drawId = () => ids[draw(ids.length)] ?? "";
    world.network.setLoss(draw(3) / 10);
    Array.from({ length: 1 + draw(4) }).forEach(() => {
      world.network.cut(drawId(), "platform");
      world.network.cut(drawId(), drawId());
    });
    world.network.cut(DATA_CENTRES[draw(3)] ?? "", "platform");
    world.network.cut(DATA_CENTRES[draw(3)] ?? "", DATA_CENTRES[draw(3)] ?? "");
    const { revision } = changeRate(world, round + 1);
    world.runFor(ADOPTION_LIMIT_MS);
    assertAdopted(world, revision);
    world.network.healAll();
    world.network.setLoss(0);
  });
});

test.each(SEEDS)("a change survives all its watchers, seed %i", (seed) => {
  const world = createWorld(seed);
  world.runFor(3_000);
  const { revision } = changeRate(world, 9);
  world.instanceIds
    .filter((id) => world.getState(id)?.configPropagation.isWatching)
    .forEach((id) => {
      world.kill(id);
    });
  world.runFor(ADOPTION_LIMIT_MS);
  expect(world.instanceIds.length).toBe(3);
  assertAdopted(world, revision);
});

test.each(SEEDS)("joiners adopt the highest revision, seed %i", (seed) => {
  const world = createWorld(seed);
  world.runFor(3_000);
  world.store.setFaults({ isDown: true });
  world.kill("a-1" as InstanceId);
  world.kill("b-1" as InstanceId);
  world.runFor(4_000);
  world.store.setFaults({ isDown: false });
  world.network.cut("b", "platform");
  world.network.cut("b", "a");
  world.network.cut("b", "c");
  const { revision } = changeRate(world, 3);
  world.runFor(ADOPTION_LIMIT_MS);
  world.store.setFaults({ isDown: true });
  world.network.healAll();
  world.start("a-1" as InstanceId, "a" as DataCentreId);
  world.start("b-1" as InstanceId, "b" as DataCentreId);
  world.runFor(ADOPTION_LIMIT_MS);
  expect(world.instanceIds.map((id) => getRevision(world, id))).toEqual(
    world.instanceIds.map(() => revision),
  );
});

test("a revision stored on only one disk is recovered", () => {
  const world = createWorld(1, ["a-0"]);
  world.runFor(3_000);
  const { revision } = changeRate(world, 3);
  world.runFor(3_000);
  world.store.setFaults({ isDown: true });
  const ids = world.instanceIds;
  ids.forEach((id) => {
    world.kill(id);
  });
  world.start("a-1" as InstanceId, "a" as DataCentreId);
  world.runFor(5_000);
  expect(getRevision(world, "a-1")).toBeUndefined();
  world.start("a-0" as InstanceId, "a" as DataCentreId);
  // While the store is down, instances learn about each other only from peers.
  const instances = ["a-0", "a-1"].map((instanceId) => ({
    instanceId,
    address: instanceId,
    dataCentre: "a",
    state: "live" as const,
  }));
  world.dispatch("a-0" as InstanceId, { kind: "instances-listed", instances });
  world.runFor(5_000);
  expect(getRevision(world, "a-0")).toBe(revision);
  expect(getRevision(world, "a-1")).toBe(revision);
});

test.each(["b-0", "b-1", "b-2", "b-3"])(
  "an instance that reaches only %s gets the change",
  (peer) => {
    const world = createWorld(1);
    world.runFor(3_000);
    ["platform", ...world.instanceIds]
      .filter((end) => end !== peer)
      .forEach((end) => {
        world.network.cut("a-0", end);
      });
    const { revision } = changeRate(world, 3);
    world.runFor(ADOPTION_LIMIT_MS);
    expect(listReachable(world)).toContain("a-0");
    assertAdopted(world, revision);
  },
);

test("watchers cut off from the store are replaced", () => {
  const world = new World({ seed: 1, document, instances: { a: 7 } });
  world.runFor(3_000);
  world.instanceIds
    .filter((id) => world.getState(id)?.configPropagation.isWatching)
    .forEach((id) => {
      world.network.cut(id, "platform");
    });
  const { revision } = changeRate(world, 3);
  world.runFor(ADOPTION_LIMIT_MS);
  assertAdopted(world, revision);
});

test("a new instance ignores a lower revision that it receives first", () => {
  const world = new World({ seed: 1, document, instances: { a: 3 } });
  const id = "a-1" as InstanceId;
  world.runFor(3_000);
  world.kill(id);
  world.network.cut("a-2", "platform");
  world.network.cut("a-2", "a-0");
  const { revision } = changeRate(world, 3);
  world.runFor(3_000);
  expect(getRevision(world, "a-2")).toBe(revision - 1);
  world.store.setFaults({ isDown: true });
  world.network.cut(id, "a-0");
  world.network.cut(id, "platform");
  world.start(id, "a" as DataCentreId);
  world.runFor(600);
  world.network.heal(id, "a-0");
  const seen = Array.from({ length: 100 }, () => {
    world.runFor(20);
    return getRevision(world, id);
  });
  expect(new Set(seen)).toEqual(new Set([undefined, revision]));
});

test.each(["store", "peer", "disk"] as const)(
  "a lower revision from the %s is ignored",
  (source) => {
    const world = new World({ seed: 1, document, instances: { a: 1 } });
    changeRate(world, 3);
    world.runFor(1_000);
    const config = { revision: 1, document };
    const id = "a-0" as InstanceId;
    world.dispatch(id, { kind: "config-offered", config, source });
    const content = { kind: "whole", config } as const;
    const message = { kind: "config-sent", content } as const;
    world.dispatch(id, { kind: "peer-message", from: id, message });
    world.runFor(1_000);
    expect(getRevision(world, id)).toBe(2);
  },
);

test.each(SEEDS)("a revoked key stops working everywhere, seed %i", (seed) => {
  const world = new World({
    seed,
    document,
    instances: { a: 4, b: 4, c: 4 },
    engine: { tokenMs: 1_000 },
  });
  const arrivals = { seed, rate: 3, untilMs: 20_000, deadlineMs: 300_000 };
  generateArrivals(world, { ...arrivals, customer: "c1" });
  generateArrivals(world, { ...arrivals, customer: "c2" });
  const listRunning = (customer: string) =>
    world.ledger.runs.filter(
      ({ order, endedMs }) =>
        order?.customer === customer && endedMs === undefined,
    );
  world.network.cut("b", "platform");
  world.runFor(5_000);
  expect(listRunning("c1").length).toBeGreaterThan(0);
  const before: ConfigDocument = world.config.document;
  const { c1 } = before.customers;
  const revoked = c1 && { c1: { ...c1, keys: [] } };
  const customers = { ...before.customers, ...revoked };
  const { revision } = world.setConfig({ ...before, customers });
  const atMs = world.nowMs;
  world.runFor(ADOPTION_LIMIT_MS);
  assertAdopted(world, revision);
  expect(listRunning("c1")).toEqual([]);
  expect(listRunning("c2").length).toBeGreaterThan(0);
  const late = world.ledger.runs
    .filter(({ order }) => order?.customer === "c1")
    .filter(({ startedMs }) => startedMs > atMs + 5_000);
  expect(late).toEqual([]);
  const codes = world.ledger.calls
    .filter(({ order, end }) => order.customer === "c1" && end !== undefined)
    .flatMap(({ end }) =>
      end?.kind === "refused" ? [end.refusal.fault.code] : [],
    );
  expect(codes).toContain("key_withdrawn");
});
