import type { Policy } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { buildWorldConfig } from "../world/world_config.ts";
import { measureQuantile } from "./measure_quantile.ts";
import type { MeasureRow } from "./types.ts";

const WARM_MS = 10_000;
const END_MS = 130_000;
const RATE = 3;
const NOISY_FACTOR = 5;
/** Admits what a customer may send, with room for chance. */
const LIMIT = 3.5;
const BURST = 12;
const NO_LIMIT = 1_000;
const NOISY = "c0";
const QUIET = ["c1", "c2", "c3", "c4", "c5", "c6", "c7"];

type Case = {
  readonly policy: Partial<Policy>;
  /** Requests a second that a customer is admitted over the fleet. */
  readonly limit: number;
  readonly noisyRate: number;
};

type Served = {
  readonly goodput: number;
  readonly firstTokenMs: number;
};

const CACHE = new Map<number, readonly MeasureRow[]>();

/** Measures what customers get beside one that sends 5 times its rate. */
export function measureFairCustomers(seed: number): readonly MeasureRow[] {
  const known = CACHE.get(seed);
  if (known !== undefined) {
    return known;
  }
  const noisyRate = RATE * NOISY_FACTOR;
  const flood = noisyRate * 2;
  const cases: readonly (readonly [string, Case])[] = [
    ["nobody-over-its-rate", { policy: {}, limit: LIMIT, noisyRate: RATE }],
    ["product", { policy: {}, limit: LIMIT, noisyRate }],
    [
      "product, overload past the limits",
      { policy: {}, limit: NO_LIMIT, noisyRate: flood },
    ],
    [
      "one-shared-queue",
      { policy: { isQueueShared: true }, limit: NO_LIMIT, noisyRate: flood },
    ],
  ];
  const alone = QUIET.map((customer) => runAlone(seed, customer));
  const rows = cases.flatMap(([policy, one]) =>
    describeCase(seed, policy, { alone, served: runCase(seed, one) }),
  );
  CACHE.set(seed, rows);
  return rows;
}

function describeCase(
  seed: number,
  policy: string,
  {
    alone,
    served,
  }: { readonly alone: readonly Served[]; readonly served: readonly Served[] },
): readonly MeasureRow[] {
  const goodputs = served.map(
    ({ goodput }, at) => goodput / (alone[at]?.goodput ?? 1),
  );
  const rises = served.map(
    ({ firstTokenMs }, at) =>
      100 * (firstTokenMs / (alone[at]?.firstTokenMs ?? 1) - 1),
  );
  return [
    {
      measure: "worst-customer-goodput",
      policy,
      value: Math.min(...goodputs),
      unit: "of what it gets alone",
      seed,
    },
    {
      measure: "online-p95-first-token",
      policy,
      value: Math.max(...served.map(({ firstTokenMs }) => firstTokenMs)),
      unit: "ms",
      seed,
    },
    {
      measure: "online-p95-first-token",
      policy,
      value: Math.max(...rises),
      unit: "% rise",
      seed,
    },
  ];
}

function runAlone(seed: number, customer: string): Served {
  const world = createWorld(seed, { policy: {}, limit: LIMIT, noisyRate: 0 });
  driveCustomer(world, seed, customer);
  world.runFor(END_MS + 20_000);
  return readServed(world, customer);
}

function runCase(seed: number, one: Case): readonly Served[] {
  const world = createWorld(seed, one);
  QUIET.forEach((customer) => {
    driveCustomer(world, seed, customer);
  });
  world.queue.schedule(WARM_MS, () =>
    generateArrivals(world, {
      seed: seed * 100 + 99,
      customer: NOISY,
      rate: one.noisyRate,
      untilMs: END_MS,
    }),
  );
  world.runFor(END_MS + 20_000);
  return QUIET.map((customer) => readServed(world, customer));
}

function createWorld(seed: number, { policy, limit }: Case): World {
  const world = new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsEach: 2,
      customers: [NOISY, ...QUIET],
      rate: limit,
      burst: limit === NO_LIMIT ? NO_LIMIT : BURST,
      concurrency: 16,
    }),
    instances: { a: 2, b: 2 },
    policy,
  });
  return world;
}

function driveCustomer(world: World, seed: number, customer: string): void {
  const number = Number(customer.slice(1));
  world.queue.schedule(WARM_MS, () =>
    generateArrivals(world, {
      seed: seed * 100 + number,
      customer,
      rate: RATE,
      untilMs: END_MS,
    }),
  );
}

function readServed(world: World, customer: string): Served {
  const calls = world.ledger.calls.filter(
    ({ order, arrivedMs }) =>
      order.customer === customer && arrivedMs >= WARM_MS,
  );
  const answered = calls.filter(({ end }) => end?.kind === "answered");
  const firsts = answered.map(
    ({ arrivedMs, firstTokenMs = arrivedMs }) => firstTokenMs - arrivedMs,
  );
  return {
    goodput: answered.length,
    firstTokenMs: measureQuantile(firsts, 0.95),
  };
}
