import {
  type AttemptId,
  INVARIANTS,
  type UpstreamId,
} from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { beforeAll, expect, test } from "vitest";
import { offerBatch } from "../jobs/offer_batch.ts";
import { generateArrivals } from "./generate_arrivals.ts";
import { buildWorldConfig } from "./world_config.ts";

const FIRST_TOKEN_LIMIT_MS = 300;

const createWorld = (seed: number) =>
  new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsEach: 2,
      customers: ["c1", "c2"],
      rate: 1_000,
      burst: 1_000,
    }),
    instances: { a: 2, b: 2 },
  });

const createLoaded = (seed: number, rate: number) => {
  const world = createWorld(seed);
  generateArrivals(world, { seed, customer: "c1", rate, untilMs: 30_000 });
  world.runFor(10_000);
  return world;
};
const countSuspect = (world: World) =>
  world.instanceIds
    .flatMap((id) => Object.values(world.stateOf(id)?.upstreams ?? {}))
    .filter(({ suspectUntilMs }) => suspectUntilMs > 0).length;
const unanswered = (world: World) =>
  world.ledger.calls.filter(({ end }) => end?.kind !== "answered");

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

test.each([1, 2, 3])(
  "a silent connection costs one timeout, seed %i",
  (seed) => {
    const world = createLoaded(seed, 10);
    const isWaiting = () =>
      world.ledger.runs.find(
        ({ workId, endedMs }) =>
          endedMs === undefined &&
          world.ledger.findCall(workId)?.firstTokenMs === undefined,
      );
    Array.from({ length: 5_000 }).some(() => {
      world.runFor(1);
      return isWaiting() !== undefined;
    });
    const struck = isWaiting();
    world.engines
      .get(struck?.upstreamId as UpstreamId)
      ?.silence(struck?.attemptId as AttemptId);
    world.runFor(60_000);
    expect(unanswered(world)).toEqual([]);
    const tries = world.ledger.runs.filter(
      ({ workId }) => workId === struck?.workId,
    );
    expect(tries.map(({ isWhole }) => isWhole)).toEqual([false, true]);
    expect(countSuspect(world)).toBe(0);
  },
);

test("an engine that stays silent is suspect, and work goes elsewhere", () => {
  const world = createLoaded(4, 10);
  world.engines.get("a-u0" as UpstreamId)?.setFault({ isSilent: true });
  world.runFor(60_000);
  expect(countSuspect(world)).toBeGreaterThan(0);
  // A stream that had begun can't be sent again: it ends in a plain error.
  const ends = unanswered(world).map(({ firstTokenMs, end }) => ({
    hadBegun: firstTokenMs !== undefined && firstTokenMs < 10_000,
    run: end?.kind === "refused" ? end.refusal.run : end?.kind,
  }));
  const allowed = { hadBegun: true, run: "may have run" };
  expect(ends).toEqual(ends.map(() => allowed));
});

test("online work finds a slot at once beside a batch backlog", () => {
  const world = createWorld(5);
  world.instanceIds.forEach((at, count) => {
    offerBatch(world, { name: `job-${count}`, itemCount: 2_000, at });
  });
  world.runFor(10_000);
  const busy = [...world.engines.values()].map(({ inFlight }) => inFlight);
  expect(Math.min(...busy)).toBeGreaterThanOrEqual(15);
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

test("what can't meet its deadline is refused, and has not run", () => {
  const world = createWorld(6);
  const load = { seed: 6, customer: "c1", rate: 120, deadlineMs: 4_000 };
  generateArrivals(world, { ...load, untilMs: 30_000 });
  world.runFor(60_000);
  const ran = new Set(world.ledger.runs.map(({ workId }) => workId));
  const refused = world.ledger.calls.flatMap(({ order, end }) =>
    end?.kind === "refused" ? [{ order, run: end.refusal.run }] : [],
  );
  const untrue = refused.filter(
    ({ order, run }) => run === "not run" && ran.has(order.workId),
  );
  expect(refused.length).toBeGreaterThan(500);
  expect(untrue).toEqual([]);
});
