import { drawRandom } from "@gooseberryline/core";
import type { SoakAction } from "./types.ts";

/** Draws an integer in [0, below) and advances the random generator. */
type DrawInteger = (below: number) => number;

const MAX_WAIT_MS = 2_000;
const MAX_PAUSE_MS = 20_000;
const MAX_OUTAGE_MS = 30_000;
const MAX_ITEMS = 60;
const INDEX_LIMIT = 64;

/** Generator and relative weight of each kind of action. */
const ACTION_GENERATORS: readonly {
  readonly weight: number;
  readonly draw: (draw: DrawInteger) => SoakAction;
}[] = [
  { weight: 12, draw: (draw) => ({ kind: "wait", ms: draw(MAX_WAIT_MS) }) },
  {
    weight: 16,
    draw: (draw) => ({
      kind: "requests",
      customer: draw(INDEX_LIMIT),
      profile: draw(3) === 0 ? "charge" : "counter",
      count: 1 + draw(30),
    }),
  },
  { weight: 2, draw: (draw) => ({ kind: "kill", instance: draw(64) }) },
  { weight: 3, draw: () => ({ kind: "restart" }) },
  {
    weight: 2,
    draw: (draw) => ({
      kind: "pause",
      instance: draw(INDEX_LIMIT),
      ms: draw(MAX_PAUSE_MS),
    }),
  },
  { weight: 1, draw: (draw) => ({ kind: "stop", instance: draw(64) }) },
  { weight: 2, draw: (draw) => ({ kind: "cut-instance", instance: draw(64) }) },
  {
    weight: 1,
    draw: (draw) => ({ kind: "cut-data-centre", dataCentre: draw(64) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "cut-platform", dataCentre: draw(64) }),
  },
  { weight: 4, draw: () => ({ kind: "heal" }) },
  { weight: 1, draw: (draw) => ({ kind: "loss", share: draw(20) / 100 }) },
  {
    weight: 1,
    draw: (draw) => ({ kind: "store-down", ms: draw(MAX_OUTAGE_MS) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "store-slow", delayMs: 2 + draw(1_500) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "store-loses-answers", count: 1 + draw(4) }),
  },
  { weight: 1, draw: (draw) => ({ kind: "engine-cold", engine: draw(64) }) },
  {
    weight: 1,
    draw: (draw) => ({
      kind: "engine-silent",
      engine: draw(INDEX_LIMIT),
      ms: draw(MAX_PAUSE_MS),
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({
      kind: "engine-down",
      engine: draw(INDEX_LIMIT),
      ms: draw(MAX_PAUSE_MS),
    }),
  },
  { weight: 1, draw: (draw) => ({ kind: "engine-cuts", engine: draw(64) }) },
  {
    weight: 2,
    draw: (draw) => ({
      kind: "data-centre",
      dataCentre: draw(INDEX_LIMIT),
      state: draw(2) === 0 ? "in" : "out",
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({
      kind: "rate",
      customer: draw(INDEX_LIMIT),
      rate: 2 + draw(30),
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "withdraw-key", customer: draw(INDEX_LIMIT) }),
  },
  {
    weight: 2,
    draw: (draw) => ({
      kind: "job",
      customer: draw(INDEX_LIMIT),
      items: 1 + draw(MAX_ITEMS),
      isIdempotent: draw(2) === 0,
      instance: draw(INDEX_LIMIT),
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "resend-job", job: draw(INDEX_LIMIT) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "cancel-job", job: draw(INDEX_LIMIT) }),
  },
];

const WEIGHTED_GENERATORS = ACTION_GENERATORS.flatMap((generator) =>
  Array.from({ length: generator.weight }, () => generator),
);

/** Draws `steps` actions; the result depends only on the arguments. */
export function drawActions(
  seed: number,
  steps: number,
): readonly SoakAction[] {
  const random = { seed };
  const draw: DrawInteger = (below) => {
    const { value, seed: next } = drawRandom(random.seed);
    random.seed = next;
    return Math.floor(value * below);
  };
  return Array.from({ length: steps }, () => {
    const generator = WEIGHTED_GENERATORS[draw(WEIGHTED_GENERATORS.length)];
    return generator === undefined
      ? { kind: "heal" as const }
      : generator.draw(draw);
  });
}
