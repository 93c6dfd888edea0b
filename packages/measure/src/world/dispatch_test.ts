import {
  type AttemptId,
  INVARIANTS,
  type UpstreamId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { offerBatch } from "../jobs/offer_batch.ts";
import { buildWorldConfig } from "./build_world_config.ts";
import { generateArrivals } from "./generate_arrivals.ts";

const FIRST_TOKEN_LIMIT_MS = 300;

const createWorld = (seed: number) =>
  new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 2,
      customers: ["c1", "c2"],
      rate: 1_000,
      burst: 1_000,
    }),
    instances: { a: 2, b: 2 },
  });

const createLoadedWorld = (seed: number, rate: number) => {
  const world = createWorld(seed);
  generateArrivals(world, { seed, customer: "c1", rate, untilMs: 30_000 });
  world.runFor(10_000);
  return world;
};
const countSuspectUpstreams = (world: World) =>
  world.instanceIds
    .flatMap((id) => Object.values(world.getState(id)?.upstreams ?? {}))
    .filter(({ suspectUntilMs }) => suspectUntilMs > 0).length;
const listUnanswered = (world: World) =>
  world.ledger.calls.filter(({ end }) => end?.kind !== "answered");

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test.each([1, 2, 3])(
  "a silent connection costs one timeout, seed %i",
  (seed) => {
    const world = createLoadedWorld(seed, 10);
    const findWaitingRun = () =>
      world.ledger.runs.find(
        ({ workId, endedMs }) =>
          endedMs === undefined &&
          world.ledger.findCall(workId)?.firstTokenMs === undefined,
      );
    Array.from({ length: 5_000 }).some(() => {
      world.runFor(1);
      return findWaitingRun() !== undefined;
    });
    const silencedRun = findWaitingRun();
    world.engines
      .get(silencedRun?.upstreamId as UpstreamId)
      ?.dropAnswer(silencedRun?.attemptId as AttemptId);
    world.runFor(60_000);
    expect(listUnanswered(world)).toEqual([]);
    const attempts = world.ledger.runs.filter(
      ({ workId }) => workId === silencedRun?.workId,
    );
    expect(attempts.map(({ isComplete }) => isComplete)).toEqual([false, true]);
    expect(countSuspectUpstreams(world)).toBe(0);
  },
);

test("a persistently silent engine becomes suspect and work moves to others", () => {
  const world = createLoadedWorld(4, 10);
  world.engines.get("a-u0" as UpstreamId)?.setFault({ isSilent: true });
  world.runFor(60_000);
  expect(countSuspectUpstreams(world)).toBeGreaterThan(0);
  // A stream that has started can't be retried, so it ends with an error.
  const ends = listUnanswered(world).map(({ firstTokenMs, end }) => ({
    hadBegun: firstTokenMs !== undefined && firstTokenMs < 10_000,
    run: end?.kind === "refused" ? end.refusal.run : end?.kind,
  }));
  const allowedEnd = { hadBegun: true, run: "may have run" };
  expect(ends).toEqual(ends.map(() => allowedEnd));
});

test("online work gets a slot without delay despite a batch backlog", () => {
  const world = createWorld(5);
  world.instanceIds.forEach((instanceId, jobIndex) => {
    offerBatch(world, {
      name: `job-${jobIndex}`,
      itemCount: 2_000,
      at: instanceId,
    });
  });
  world.runFor(10_000);
  const inFlightCounts = [...world.engines.values()].map(
    ({ inFlight }) => inFlight,
  );
  expect(Math.min(...inFlightCounts)).toBeGreaterThanOrEqual(15);
  generateArrivals(world, {
    seed: 5,
    customer: "c2",
    rate: 20,
    untilMs: 30_000,
  });
  world.runFor(40_000);
  const waits = world.ledger.calls.map(
    ({ arrivedMs, firstTokenMs = Number.POSITIVE_INFINITY }) =>
      firstTokenMs - arrivedMs,
  );
  expect(waits.length).toBeGreaterThan(300);
  expect(Math.max(...waits)).toBeLessThan(FIRST_TOKEN_LIMIT_MS);
});

test("requests refused as not run because of their deadline have not run", () => {
  const world = createWorld(6);
  const load = { seed: 6, customer: "c1", rate: 120, deadlineMs: 4_000 };
  generateArrivals(world, { ...load, untilMs: 30_000 });
  world.runFor(60_000);
  const startedWorkIds = new Set(world.ledger.runs.map(({ workId }) => workId));
  const refused = world.ledger.calls.flatMap(({ order, end }) =>
    end?.kind === "refused" ? [{ order, run: end.refusal.run }] : [],
  );
  const falseRefusals = refused.filter(
    ({ order, run }) => run === "not run" && startedWorkIds.has(order.workId),
  );
  expect(refused.length).toBeGreaterThan(500);
  expect(falseRefusals).toEqual([]);
});
