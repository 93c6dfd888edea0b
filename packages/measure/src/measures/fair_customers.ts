import type { Policy } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { measureQuantile } from "./measure_quantile.ts";
import type { MeasureRow } from "./types.ts";

const WARM_UP_MS = 10_000;
const END_MS = 130_000;
const RATE = 3;
const NOISY_FACTOR = 5;
/** Above the mean rate, so that random bursts of a customer are admitted. */
const ADMISSION_RATE = 3.5;
const BURST = 12;
const UNLIMITED_RATE = 1_000;
const NOISY = "c0";
const QUIET = ["c1", "c2", "c3", "c4", "c5", "c6", "c7"];

type Scenario = {
  readonly policy: Partial<Policy>;
  /** Fleet-wide rate limit of each customer, requests per second. */
  readonly limit: number;
  readonly noisyRate: number;
};

type CustomerResult = {
  readonly goodput: number;
  readonly firstTokenMs: number;
};

const ROWS_BY_SEED = new Map<number, readonly MeasureRow[]>();

/** Measures service of customers next to one that sends 5 times its rate. */
export function measureFairCustomers(seed: number): readonly MeasureRow[] {
  const cached = ROWS_BY_SEED.get(seed);
  if (cached !== undefined) {
    return cached;
  }
  const noisyRate = RATE * NOISY_FACTOR;
  const overloadRate = noisyRate * 2;
  const scenarios: readonly (readonly [string, Scenario])[] = [
    [
      "nobody-over-its-rate",
      { policy: {}, limit: ADMISSION_RATE, noisyRate: RATE },
    ],
    ["product", { policy: {}, limit: ADMISSION_RATE, noisyRate }],
    [
      "product, overload past the limits",
      { policy: {}, limit: UNLIMITED_RATE, noisyRate: overloadRate },
    ],
    [
      "one-shared-queue",
      {
        policy: { isQueueShared: true },
        limit: UNLIMITED_RATE,
        noisyRate: overloadRate,
      },
    ],
  ];
  const baseline = QUIET.map((customer) => runAlone(seed, customer));
  const rows = scenarios.flatMap(([policy, scenario]) =>
    describeScenario(seed, policy, {
      baseline,
      results: runScenario(seed, scenario),
    }),
  );
  ROWS_BY_SEED.set(seed, rows);
  return rows;
}

function describeScenario(
  seed: number,
  policy: string,
  {
    baseline,
    results,
  }: {
    readonly baseline: readonly CustomerResult[];
    readonly results: readonly CustomerResult[];
  },
): readonly MeasureRow[] {
  const goodputs = results.map(
    ({ goodput }, index) => goodput / (baseline[index]?.goodput ?? 1),
  );
  const risePercents = results.map(
    ({ firstTokenMs }, index) =>
      100 * (firstTokenMs / (baseline[index]?.firstTokenMs ?? 1) - 1),
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
      value: Math.max(...results.map(({ firstTokenMs }) => firstTokenMs)),
      unit: "ms",
      seed,
    },
    {
      measure: "online-p95-first-token",
      policy,
      value: Math.max(...risePercents),
      unit: "% rise",
      seed,
    },
  ];
}

function runAlone(seed: number, customer: string): CustomerResult {
  const world = createWorld(seed, {
    policy: {},
    limit: ADMISSION_RATE,
    noisyRate: 0,
  });
  generateCustomerArrivals(world, seed, customer);
  world.runFor(END_MS + 20_000);
  return readCustomerResult(world, customer);
}

function runScenario(
  seed: number,
  scenario: Scenario,
): readonly CustomerResult[] {
  const world = createWorld(seed, scenario);
  QUIET.forEach((customer) => {
    generateCustomerArrivals(world, seed, customer);
  });
  world.queue.schedule(WARM_UP_MS, () =>
    generateArrivals(world, {
      seed: seed * 100 + 99,
      customer: NOISY,
      rate: scenario.noisyRate,
      untilMs: END_MS,
    }),
  );
  world.runFor(END_MS + 20_000);
  return QUIET.map((customer) => readCustomerResult(world, customer));
}

function createWorld(seed: number, { policy, limit }: Scenario): World {
  const world = new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 2,
      customers: [NOISY, ...QUIET],
      rate: limit,
      burst: limit === UNLIMITED_RATE ? UNLIMITED_RATE : BURST,
      concurrency: 16,
    }),
    instances: { a: 2, b: 2 },
    policy,
  });
  return world;
}

function generateCustomerArrivals(
  world: World,
  seed: number,
  customer: string,
): void {
  const customerNumber = Number(customer.slice(1));
  world.queue.schedule(WARM_UP_MS, () =>
    generateArrivals(world, {
      seed: seed * 100 + customerNumber,
      customer,
      rate: RATE,
      untilMs: END_MS,
    }),
  );
}

function readCustomerResult(world: World, customer: string): CustomerResult {
  const calls = world.ledger.calls.filter(
    ({ order, arrivedMs }) =>
      order.customer === customer && arrivedMs >= WARM_UP_MS,
  );
  const answered = calls.filter(({ end }) => end?.kind === "answered");
  const firstTokenTimes = answered.map(
    ({ arrivedMs, firstTokenMs = arrivedMs }) => firstTokenMs - arrivedMs,
  );
  return {
    goodput: answered.length,
    firstTokenMs: measureQuantile(firstTokenTimes, 0.95),
  };
}
