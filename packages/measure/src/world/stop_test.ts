import { INVARIANTS, type InstanceId } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { buildWorldConfig } from "./build_world_config.ts";
import { generateArrivals } from "./generate_arrivals.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];
const NOTICE_MS = 2_000;
const STOPPED = "a-0" as InstanceId;

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

/** Sends load for 20 s and stops one instance after 5 s. */
const runStop = (seed: number, shouldStopRouting: boolean) => {
  const world = createWorld(seed);
  const routing = { isOut: false };
  const pickInstance = (value: number) => {
    const ids = world.instanceIds.filter(
      (id) => !routing.isOut || id !== STOPPED,
    );
    return ids[Math.floor(value * ids.length)];
  };
  ["c1", "c2"].forEach((customer, customerIndex) => {
    const arrivals = {
      seed: seed * 2 + customerIndex,
      rate: 12,
      untilMs: 20_000,
      pickInstance,
    };
    generateArrivals(world, { ...arrivals, customer });
  });
  world.runFor(5_000);
  const inFlightAtStop = world.ledger.calls.filter(
    ({ end, instanceId }) => end === undefined && instanceId === STOPPED,
  ).length;
  world.stop(STOPPED, NOTICE_MS);
  if (shouldStopRouting) {
    world.queue.schedule(NOTICE_MS / 2, () => {
      routing.isOut = true;
    });
  }
  world.runFor(40_000);
  return { world, inFlightAtStop };
};

const listEnds = (world: World) =>
  world.ledger.calls
    .filter(({ instanceId }) => instanceId === STOPPED)
    .map(({ end }) =>
      end?.kind === "refused" ? end.refusal.fault.code : end?.kind,
    );

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test.each(SEEDS)(
  "a planned stop answers all requests in flight, seed %i",
  (seed) => {
    const { world, inFlightAtStop } = runStop(seed, true);
    expect(inFlightAtStop).toBeGreaterThan(0);
    expect(world.instanceIds).not.toContain(STOPPED);
    const kinds = new Set(listEnds(world));
    expect([...kinds].filter((kind) => kind !== "rate_limited")).toEqual([
      "answered",
    ]);
  },
);

test.each(SEEDS)(
  "requests sent to a stopping instance are refused and not run, seed %i",
  (seed) => {
    const { world } = runStop(seed, false);
    const startedWorkIds = new Set(
      world.ledger.runs.map(({ workId }) => workId),
    );
    const refused = world.ledger.calls.filter(
      ({ end }) =>
        end?.kind === "refused" && end.refusal.fault.code === "stopping",
    );
    expect(listEnds(world)).not.toContain("lost");
    expect(listEnds(world)).not.toContain(undefined);
    expect(
      refused.filter(({ order }) => startedWorkIds.has(order.workId)),
    ).toEqual([]);
  },
);
