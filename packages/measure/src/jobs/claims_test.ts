import {
  type CustomerId,
  type DataCentreId,
  INVARIANTS,
  type InstanceId,
  type KeyId,
  LANES,
  type ProfileName,
  type ServiceName,
  type WorkId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import fc from "fast-check";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "../world/build_world_config.ts";

const INSTANCES = ["a-0", "a-1", "b-0"] as [InstanceId, InstanceId, InstanceId];

const createWorld = (seed = 1) => {
  const world = new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 2,
      customers: ["c1"],
      rate: 1_000,
      burst: 1_000,
    }),
    instances: { a: 2, b: 1 },
    engine: { slots: 1_000, firstTokenMs: 100, tokenMs: 2 },
  });
  world.runFor(1_500);
  return world;
};

const sendRequest = (
  world: World,
  instanceIndex: number,
  claimKey: string,
  name: string,
) => {
  const id = INSTANCES[instanceIndex % INSTANCES.length];
  if (id !== undefined && world.instanceIds.includes(id)) {
    world.submitRequest(id, {
      workId: name as WorkId,
      origin: { kind: "request" },
      lane: LANES.ONLINE,
      customer: "c1" as CustomerId,
      keyId: "c1-key" as KeyId,
      profile: "charge" as ProfileName,
      service: "letterdesk-llm" as ServiceName,
      isIdempotent: false,
      claimKey,
      costTokens: 50,
      prefixHash: 0,
      deadlineMs: world.nowMs + 8_000,
    });
  }
};

const getEnd = (world: World, name: string) =>
  world.ledger.findCall(name as WorkId)?.end;
const countRuns = (world: World, claimKey: string) =>
  world.ledger.runs.filter(({ order }) => order?.claimKey === claimKey).length;

const listIndexes = (count: number) =>
  Array.from({ length: count }, (_, index) => index);

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test("a repeated key runs once, on whichever instance it arrives", () => {
  const world = createWorld();
  sendRequest(world, 0, "k", "first");
  sendRequest(world, 2, "k", "second");
  world.runFor(3_000);
  sendRequest(world, 1, "k", "third");
  world.runFor(5_000);
  expect(countRuns(world, "k")).toBe(1);
  expect(getEnd(world, "third")).toMatchObject({
    kind: "refused",
    refusal: { run: "may have run", fault: { code: "key_used" } },
  });
});

test("a request with a key does not run while the store is down", () => {
  const world = createWorld();
  world.store.setFaults({ isDown: true });
  sendRequest(world, 0, "k", "first");
  world.runFor(6_000);
  expect(getEnd(world, "first")).toMatchObject({
    kind: "refused",
    refusal: { run: "not run", fault: { code: "store_unavailable" } },
  });
  expect(countRuns(world, "k")).toBe(0);
});

test("a key whose request did not run can be used again", () => {
  const world = createWorld();
  world.store.setFaults({ delayMs: 7_000 });
  sendRequest(world, 0, "k", "slow");
  world.runFor(6_000);
  expect(getEnd(world, "slow")).toMatchObject({ refusal: { run: "not run" } });
  world.store.setFaults({ delayMs: 2 });
  world.runFor(15_000);
  world.engines.forEach((engine) => {
    engine.setFault({ isDown: true });
  });
  sendRequest(world, 1, "k", "unreached");
  world.runFor(10_000);
  expect(getEnd(world, "unreached")).toMatchObject({
    refusal: { run: "not run" },
  });
  world.engines.forEach((engine) => {
    engine.setFault({ isDown: false });
  });
  world.runFor(10_000);
  sendRequest(world, 2, "k", "last");
  world.runFor(5_000);
  expect(getEnd(world, "last")).toEqual({ kind: "answered" });
  expect(countRuns(world, "k")).toBe(1);
});

test("a claim whose answer is lost is recognised as the request's own", () => {
  const world = createWorld();
  world.store.setFaults({ loseAnswers: 2 });
  sendRequest(world, 0, "k", "first");
  world.runFor(6_000);
  expect(getEnd(world, "first")).toEqual({ kind: "answered" });
});

test("store writes scale with claim groups, not with requests", () => {
  const world = createWorld();
  const before = world.store.meter.readCalls()["/kv/cas"] ?? 0;
  listIndexes(1_000).forEach((at) => {
    world.queue.schedule(at, () => sendRequest(world, at, `k${at}`, `w${at}`));
  });
  world.runFor(8_000);
  const answered = world.ledger.calls.filter(
    ({ end }) => end?.kind === "answered",
  );
  expect(answered.length).toBe(1_000);
  const conflicts = 16;
  const writes = (world.store.meter.readCalls()["/kv/cas"] ?? 0) - before;
  // One second of arrivals with a flush every 200 ms, and one final flush.
  expect(writes).toBeLessThanOrEqual(16 * 6 + conflicts);
});

const actionArbitrary = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("send"),
      at: fc.nat(2),
      key: fc.nat(5),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("wait"),
      at: fc.nat(1_500),
      key: fc.nat(0),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "kill",
        "pause",
        "down",
        "up",
        "lose",
        "slow",
        "cut",
        "heal",
      ),
      at: fc.nat(2),
      key: fc.nat(3),
    }),
  },
);

type ClaimAction = {
  readonly kind: string;
  /** Index of the instance, or the time in milliseconds for "wait". */
  readonly at: number;
  /** Number of the claim key, or the size of a fault. */
  readonly key: number;
};

const FAULTS: Readonly<
  Record<string, (world: World, id: InstanceId, size: number) => void>
> = {
  kill: (world, id) => {
    world.kill(id);
    world.start(id, id.slice(0, 1) as DataCentreId);
  },
  pause: (world, id, size) => {
    world.pause(id);
    world.queue.schedule(2_000 * size, () => world.resume(id));
  },
  cut: (world, id, size) => world.network.cut(id, INSTANCES[size % 3] ?? id),
  heal: (world) => world.network.healAll(),
  slow: (world, _, size) => world.store.setFaults({ delayMs: 2 + 400 * size }),
  lose: (world, _, size) => world.store.setFaults({ loseAnswers: size }),
  down: (world) => world.store.setFaults({ isDown: true }),
  up: (world) => world.store.setFaults({ isDown: false }),
};

const applyAction = (
  world: World,
  { kind, at, key }: ClaimAction,
  step: number,
): void => {
  if (kind === "send") {
    sendRequest(world, at, `k${key}`, `w${step}`);
  } else if (kind === "wait") {
    world.runFor(at);
  } else {
    FAULTS[kind]?.(world, INSTANCES[at] ?? INSTANCES[0], key);
  }
};

test("under arbitrary faults no key runs twice and every request ends", () => {
  fc.assert(
    fc.property(fc.array(actionArbitrary, { maxLength: 60 }), (actions) => {
      const world = createWorld();
      actions.forEach((claimAction, step) => {
        applyAction(world, claimAction, step);
      });
      world.network.healAll();
      world.store.setFaults({ isDown: false, delayMs: 2, loseAnswers: 0 });
      world.runFor(15_000);
      const runs = listIndexes(6).map((key) => countRuns(world, `k${key}`));
      expect(Math.max(...runs)).toBeLessThanOrEqual(1);
      const unended = world.ledger.calls.filter(({ end }) => end === undefined);
      expect(unended).toEqual([]);
    }),
    { seed: 4, numRuns: 40 },
  );
});
