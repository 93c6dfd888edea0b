import type { ConfigDocument, Policy } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import type { Measure, MeasureRow } from "./types.ts";

const WARM_UP_MS = 10_000;
const EVACUATE_AT_MS = 30_000;
const RETURN_AT_MS = 60_000;
const END_MS = 120_000;
const RATE = 30;
const EVACUATED = "a";

/**
 * Goodput while a data centre is evacuated and returned to service with cold
 * engines. The other data centres have capacity for the whole load.
 */
export const DATA_CENTRE_LEAVE: Measure = {
  name: "goodput-during-data-centre-leave",
  target: ">= 0.99, no engine falls over",
  run: async (seed) => [
    ...measureEvacuation(seed, "product", {}),
    ...measureEvacuation(seed, "no-ramp", { hasRamp: false }),
  ],
};

function measureEvacuation(
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
  world.runFor(EVACUATE_AT_MS);
  world.setConfig(buildDocument("out"));
  world.runFor(RETURN_AT_MS - EVACUATE_AT_MS);
  world.engines.forEach((engine, id) => {
    if (id.startsWith(EVACUATED)) {
      engine.startCold();
    }
  });
  world.setConfig(buildDocument("in"));
  world.runFor(END_MS + 20_000 - RETURN_AT_MS);
  const measure = DATA_CENTRE_LEAVE.name;
  return [
    {
      measure,
      policy,
      value: measureGoodput(world, WARM_UP_MS, END_MS),
      unit: "of what arrived",
      seed,
    },
    {
      measure,
      policy,
      value: measureGoodput(world, RETURN_AT_MS, RETURN_AT_MS + 30_000),
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
    upstreamsPerDataCentre: 2,
    customers: ["c1"],
    rate: 1_000,
    burst: 1_000,
  });
  const dataCentres = { ...document.dataCentres, [EVACUATED]: { state } };
  return { ...document, dataCentres };
}

function measureGoodput(world: World, fromMs: number, toMs: number): number {
  const calls = world.ledger.calls.filter(
    ({ arrivedMs }) => arrivedMs >= fromMs && arrivedMs < toMs,
  );
  const answered = calls.filter(({ end }) => end?.kind === "answered");
  return answered.length / calls.length;
}
