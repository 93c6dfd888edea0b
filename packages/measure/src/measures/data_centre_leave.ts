import type { ConfigDocument, Policy } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { buildWorldConfig } from "../world/world_config.ts";
import type { Measure, MeasureRow } from "./types.ts";

const WARM_MS = 10_000;
const OUT_MS = 30_000;
const BACK_MS = 60_000;
const END_MS = 120_000;
const RATE = 30;
const LEAVING = "a";

/**
 * Requests answered in time while a data centre is taken out and brought
 * back with cold engines; the other data centres have room for them all.
 */
export const DATA_CENTRE_LEAVE: Measure = {
  name: "goodput-during-data-centre-leave",
  target: ">= 0.99, no engine falls over",
  run: async (seed) => [
    ...measureLeave(seed, "product", {}),
    ...measureLeave(seed, "no-ramp", { hasRamp: false }),
  ],
};

function measureLeave(
  seed: number,
  policy: string,
  changes: Partial<Policy>,
): readonly MeasureRow[] {
  const world = new World({
    seed,
    document: buildDocument("in"),
    instances: { a: 2, b: 2, c: 2 },
    policy: changes,
  });
  generateArrivals(world, {
    seed,
    customer: "c1",
    rate: RATE,
    untilMs: END_MS,
  });
  world.runFor(OUT_MS);
  world.setConfig(buildDocument("out"));
  world.runFor(BACK_MS - OUT_MS);
  world.engines.forEach((engine, id) => {
    if (id.startsWith(LEAVING)) {
      engine.turnCold();
    }
  });
  world.setConfig(buildDocument("in"));
  world.runFor(END_MS + 20_000 - BACK_MS);
  const measure = DATA_CENTRE_LEAVE.name;
  return [
    {
      measure,
      policy,
      value: measureGoodput(world, WARM_MS, END_MS),
      unit: "of what arrived",
      seed,
    },
    {
      measure,
      policy,
      value: measureGoodput(world, BACK_MS, BACK_MS + 30_000),
      unit: "of what arrived in the 30 s after the return",
      seed,
    },
    {
      measure,
      policy,
      value: [...world.engines.values()].reduce(
        (sum, { crashes }) => sum + crashes,
        0,
      ),
      unit: "engine crashes",
      seed,
    },
  ];
}

function buildDocument(state: "in" | "out"): ConfigDocument {
  const document = buildWorldConfig({
    dataCentres: ["a", "b", "c"],
    upstreamsEach: 2,
    customers: ["c1"],
    rate: 1_000,
    burst: 1_000,
  });
  const dataCentres = { ...document.dataCentres, [LEAVING]: { state } };
  return { ...document, dataCentres };
}

function measureGoodput(world: World, fromMs: number, toMs: number): number {
  const calls = world.ledger.calls.filter(
    ({ arrivedMs }) => arrivedMs >= fromMs && arrivedMs < toMs,
  );
  const answered = calls.filter(({ end }) => end?.kind === "answered");
  return answered.length / calls.length;
}
